package org.cuminreach.decisions.rollout;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class VersionGuardTest {
    private static final long MICROS = 4_000;

    @Example
    void fewFailuresOfSeveralTargetsSetItOffAndItLapses() {
        VersionGuard guard = VersionGuard.open();
        guard.noteNew("new-0", CallResult.FAILED, MICROS, 2, 0);
        guard.noteNew("new-1", CallResult.FAILED, MICROS, 2, 10);
        boolean setOff = guard.noteNew("new-0", CallResult.FAILED, MICROS, 2, 20);

        assertThat(setOff).isTrue();
        assertThat(guard.isGuarding(1_000)).isTrue();
        assertThat(guard.isGuarding(60_000)).isFalse();
    }

    @Property(seed = "41", tries = 100)
    void oneBadTargetNeverSetsItOff(@ForAll @IntRange(min = 1, max = 200) int failures) {
        VersionGuard guard = VersionGuard.open();
        for (int call = 0; call < failures; call++) {
            guard.noteNew("new-0", CallResult.FAILED, MICROS, 2, call * 100L);
            guard.noteNew("new-1", CallResult.ANSWERED, MICROS, 2, call * 100L);
        }
        assertThat(guard.isGuarding(failures * 100L)).isFalse();
    }

    @Example
    void refusalsAndCallsLostTogetherAreNoEvidence() {
        VersionGuard guard = VersionGuard.open();
        for (int call = 0; call < 50; call++) {
            guard.noteNew("new-" + call % 2, CallResult.REFUSED, 0, 2, call);
            guard.noteNew("new-" + call % 2, CallResult.LOST, 0, 2, call);
        }
        assertThat(guard.isGuarding(100)).isFalse();
    }

    @Example
    void overloadOfBothVersionsDoesNotSetItOff() {
        VersionGuard guard = VersionGuard.open();
        for (int call = 0; call < 400; call++) {
            CallResult result = call % 4 == 0 ? CallResult.FAILED : CallResult.ANSWERED;
            guard.noteOld(result, MICROS);
            guard.noteNew("new-" + call / 4 % 2, result, MICROS, 2, call);
        }
        assertThat(guard.isGuarding(400)).isFalse();
    }
}
