package org.cuminreach.runtime;

import java.time.Duration;

/** Processor time that this process has used. */
public final class ProcessorTime {
    private ProcessorTime() {}

    /**
     * Returns the processor time used since the start of the process.
     *
     * @return milliseconds, 0 where the operating system does not tell
     */
    public static long usedMillis() {
        return ProcessHandle.current().info().totalCpuDuration().map(Duration::toMillis).orElse(0L);
    }
}
