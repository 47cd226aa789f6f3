package org.cuminreach.runtime.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.filter.Filter;
import ch.qos.logback.core.spi.FilterReply;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the log lines of each event per second, so that a flood of one event has a bounded cost
 * and does not displace the lines of other events. Warnings and errors are not limited. Dropped
 * lines are counted.
 */
final class EventRateFilter extends Filter<ILoggingEvent> {
    private static final long WINDOW_MILLIS = 1_000;
    private static final int MAX_EVENTS = 256;
    private static final String OTHER_EVENTS = "";

    /** Lines of an event in the current second. */
    private static final class Window {
        private long startMillis;
        private int lines;
    }

    private final int linesPerSecond;
    private final Map<String, Window> windows = new ConcurrentHashMap<>();
    private final AtomicLong droppedLines = new AtomicLong();

    EventRateFilter(int linesPerSecond) {
        this.linesPerSecond = linesPerSecond;
    }

    @Override
    public FilterReply decide(ILoggingEvent event) {
        if (event.getLevel().isGreaterOrEqual(Level.WARN)) {
            return FilterReply.NEUTRAL;
        }
        if (admits(eventName(event.getMessage()), event.getTimeStamp())) {
            return FilterReply.NEUTRAL;
        }
        droppedLines.incrementAndGet();
        return FilterReply.DENY;
    }

    /** Returns the number of dropped lines and resets it to zero. */
    long drainDroppedLines() {
        return droppedLines.getAndSet(0);
    }

    private boolean admits(String event, long nowMillis) {
        boolean hasOwnWindow = windows.containsKey(event) || windows.size() < MAX_EVENTS;
        Window window =
                windows.computeIfAbsent(hasOwnWindow ? event : OTHER_EVENTS, name -> new Window());
        synchronized (window) {
            if (Math.abs(nowMillis - window.startMillis) >= WINDOW_MILLIS) {
                window.startMillis = nowMillis;
                window.lines = 0;
            }
            window.lines++;
            return window.lines <= linesPerSecond;
        }
    }

    /** Returns the first word of a message pattern, such as {@code event=call_routed}. */
    private static String eventName(String pattern) {
        int end = pattern.indexOf(' ');
        return end < 0 ? pattern : pattern.substring(0, end);
    }
}
