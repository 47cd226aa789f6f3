package org.cuminreach.decisions.admission;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

class StopScheduleTest {
    private static final long LATE_FROM_MILLIS = 2_700;
    private static final long END_MILLIS = 5_300;

    private final StopSchedule schedule = StopSchedule.of(LATE_FROM_MILLIS, END_MILLIS);

    @Example
    void lateCallThatMayOutlastTheStopIsNotTaken() {
        assertThat(schedule.takes(3_020, 6_020)).isFalse();
        assertThat(schedule.takes(3_020, END_MILLIS)).isFalse();
    }

    @Example
    void lateCallThatEndsBeforeTheStopIsTaken() {
        assertThat(schedule.takes(3_020, 4_220)).isTrue();
    }

    @Example
    void callThatIsNotLateIsTakenWhateverItsDeadline() {
        assertThat(schedule.takes(2_699, 9_000)).isTrue();
    }

    @Property
    void processThatDoesNotStopTakesEveryCall(
            @ForAll @LongRange(max = 1_000_000) long nowMillis,
            @ForAll @LongRange(max = 600_000) long remainingMillis) {
        assertThat(StopSchedule.none().takes(nowMillis, nowMillis + remainingMillis)).isTrue();
    }
}
