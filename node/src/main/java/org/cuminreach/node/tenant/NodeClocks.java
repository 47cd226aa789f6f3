package org.cuminreach.node.tenant;

import org.cuminreach.decisions.tenant.ClockReading;
import org.cuminreach.runtime.ProcessClock;

/** Reads the clocks by which a key counts as proven. */
public final class NodeClocks {
    private NodeClocks() {}

    /**
     * Reads the clocks.
     *
     * @return the reading
     */
    public static ClockReading read() {
        return new ClockReading(ProcessClock.monotonicMillis(), ProcessClock.wallMillis());
    }
}
