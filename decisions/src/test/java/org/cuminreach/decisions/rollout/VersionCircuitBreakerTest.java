package org.cuminreach.decisions.rollout;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class VersionCircuitBreakerTest {
    private static final long MICROS = 4_000;

    @Example
    void failuresOfSeveralTargetsOpenTheCircuitForLimitedTime() {
        VersionCircuitBreaker guard = VersionCircuitBreaker.closed();
        guard.recordNewVersionCall("new-0", CallResult.FAILED, MICROS, 2, 0);
        guard.recordNewVersionCall("new-1", CallResult.FAILED, MICROS, 2, 10);
        boolean setOff = guard.recordNewVersionCall("new-0", CallResult.FAILED, MICROS, 2, 20);

        assertThat(setOff).isTrue();
        assertThat(guard.isOpen(1_000)).isTrue();
        assertThat(guard.isOpen(60_000)).isFalse();
    }

    @Property(seed = "41", tries = 100)
    void oneBadTargetNeverOpensTheCircuit(@ForAll @IntRange(min = 1, max = 200) int failures) {
        VersionCircuitBreaker guard = VersionCircuitBreaker.closed();
        for (int call = 0; call < failures; call++) {
            guard.recordNewVersionCall("new-0", CallResult.FAILED, MICROS, 2, call * 100L);
            guard.recordNewVersionCall("new-1", CallResult.ANSWERED, MICROS, 2, call * 100L);
        }
        assertThat(guard.isOpen(failures * 100L)).isFalse();
    }

    @Example
    void refusalsAndSimultaneousLossesDoNotOpenTheCircuit() {
        VersionCircuitBreaker guard = VersionCircuitBreaker.closed();
        for (int call = 0; call < 50; call++) {
            guard.recordNewVersionCall("new-" + call % 2, CallResult.REFUSED, 0, 2, call);
            guard.recordNewVersionCall("new-" + call % 2, CallResult.LOST, 0, 2, call);
        }
        assertThat(guard.isOpen(100)).isFalse();
    }

    @Example
    void overloadOfBothVersionsDoesNotOpenTheCircuit() {
        VersionCircuitBreaker guard = VersionCircuitBreaker.closed();
        for (int call = 0; call < 400; call++) {
            CallResult result = call % 4 == 0 ? CallResult.FAILED : CallResult.ANSWERED;
            guard.recordOldVersionCall(result, MICROS);
            guard.recordNewVersionCall("new-" + call / 4 % 2, result, MICROS, 2, call);
        }
        assertThat(guard.isOpen(400)).isFalse();
    }
}
