package org.cuminreach.runtime.log;

import static com.google.common.truth.Truth.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.core.spi.FilterReply;
import net.jqwik.api.Example;

class EventRateFilterTest {
    private static final int LINES_PER_SECOND = 3;

    private final EventRateFilter filter = new EventRateFilter(LINES_PER_SECOND);

    private boolean passes(Level level, String pattern, long atMillis) {
        LoggingEvent event = new LoggingEvent();
        event.setLevel(level);
        event.setMessage(pattern);
        event.setTimeStamp(atMillis);
        return filter.decide(event) != FilterReply.DENY;
    }

    @Example
    void floodOfOneEventDoesNotLimitOthers() {
        int passed = 0;
        for (int line = 0; line < 100; line++) {
            passed += passes(Level.INFO, "event=call_routed request={}", 5_000) ? 1 : 0;
        }

        assertThat(passed).isEqualTo(LINES_PER_SECOND);
        assertThat(passes(Level.INFO, "event=call_refused request={}", 5_000)).isTrue();
        assertThat(passes(Level.WARN, "event=call_routed request={}", 5_000)).isTrue();
        assertThat(passes(Level.INFO, "event=call_routed request={}", 6_000)).isTrue();
        assertThat(filter.drainDroppedLines()).isEqualTo(100 - LINES_PER_SECOND);
        assertThat(filter.drainDroppedLines()).isEqualTo(0);
    }
}
