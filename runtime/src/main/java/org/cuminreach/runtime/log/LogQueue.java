package org.cuminreach.runtime.log;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.spi.ILoggingEvent;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Queue of log lines that never blocks. Lines that do not fit are dropped and counted; a part of
 * the capacity is reserved for warnings and errors.
 */
final class LogQueue extends AsyncAppender {
    private final int reservedLines;
    private final AtomicLong droppedLines = new AtomicLong();

    LogQueue(int maxLines, int reservedLines) {
        this.reservedLines = reservedLines;
        setNeverBlock(true);
        setQueueSize(maxLines);
        setDiscardingThreshold(0);
    }

    /**
     * Queues a line or drops it. Lines are queued one at a time, so that one for which there is
     * room is never lost without being counted.
     */
    @Override
    protected synchronized void append(ILoggingEvent event) {
        int needed = event.getLevel().isGreaterOrEqual(Level.WARN) ? 1 : reservedLines;
        if (getRemainingCapacity() < needed) {
            droppedLines.incrementAndGet();
        } else {
            super.append(event);
        }
    }

    /** Returns the number of dropped lines and resets it to zero. */
    long drainDroppedLines() {
        return droppedLines.getAndSet(0);
    }
}
