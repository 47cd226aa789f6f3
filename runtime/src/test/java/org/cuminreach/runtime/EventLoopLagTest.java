package org.cuminreach.runtime;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalLong;
import net.jqwik.api.Example;

class EventLoopLagTest {
    private static final long LATE_MILLIS = EventLoopLag.REPORT_THRESHOLD_MILLIS + 50;

    private final EventLoopLag lag = EventLoopLag.none();

    @Example
    void lagBelowThresholdIsMeasuredAndNotReported() {
        assertThat(lag.record(1_000, 1_000 + EventLoopLag.REPORT_THRESHOLD_MILLIS - 1))
                .isEqualTo(OptionalLong.empty());
        assertThat(lag.latestMillis()).isEqualTo(EventLoopLag.REPORT_THRESHOLD_MILLIS - 1);
    }

    @Example
    void lagIsReportedOnceInAnIntervalWithItsHighestValue() {
        long end = 1_000 + LATE_MILLIS + EventLoopLag.REPORT_INTERVAL_MILLIS;
        assertThat(lag.record(1_000, 1_000 + LATE_MILLIS)).isEqualTo(OptionalLong.of(LATE_MILLIS));
        assertThat(lag.record(2_000, 2_900)).isEqualTo(OptionalLong.empty());
        assertThat(lag.record(end - 1, end - 1)).isEqualTo(OptionalLong.empty());
        assertThat(lag.record(end, end)).isEqualTo(OptionalLong.of(900));
        assertThat(lag.latestMillis()).isEqualTo(0);
        assertThat(lag.highestMillis()).isEqualTo(900);
    }

    @Example
    void clockThatReadsEarlyGivesNoNegativeLag() {
        lag.record(1_000, 999);

        assertThat(lag.latestMillis()).isEqualTo(0);
    }
}
