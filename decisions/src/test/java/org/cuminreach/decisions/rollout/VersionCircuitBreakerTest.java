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
        VersionCircuitBreaker breaker = VersionCircuitBreaker.closed();
        breaker.recordNewVersionCall("new-0", CallResult.FAILED, MICROS, 2, 0);
        breaker.recordNewVersionCall("new-1", CallResult.FAILED, MICROS, 2, 10);
        boolean opened = breaker.recordNewVersionCall("new-0", CallResult.FAILED, MICROS, 2, 20);

        assertThat(opened).isTrue();
        assertThat(breaker.isOpen(1_000)).isTrue();
        assertThat(breaker.isOpen(60_000)).isFalse();
    }

    @Property(seed = "41", tries = 100)
    void oneBadTargetNeverOpensTheCircuit(@ForAll @IntRange(min = 1, max = 200) int failures) {
        VersionCircuitBreaker breaker = VersionCircuitBreaker.closed();
        for (int call = 0; call < failures; call++) {
            breaker.recordNewVersionCall("new-0", CallResult.FAILED, MICROS, 2, call * 100L);
            breaker.recordNewVersionCall("new-1", CallResult.ANSWERED, MICROS, 2, call * 100L);
        }
        assertThat(breaker.isOpen(failures * 100L)).isFalse();
    }

    @Example
    void refusalsAndSimultaneousLossesDoNotOpenTheCircuit() {
        VersionCircuitBreaker breaker = VersionCircuitBreaker.closed();
        for (int call = 0; call < 50; call++) {
            breaker.recordNewVersionCall("new-" + call % 2, CallResult.REFUSED, 0, 2, call);
            breaker.recordNewVersionCall("new-" + call % 2, CallResult.LOST, 0, 2, call);
        }
        assertThat(breaker.isOpen(100)).isFalse();
    }

    @Example
    void overloadOfBothVersionsDoesNotOpenTheCircuit() {
        VersionCircuitBreaker breaker = VersionCircuitBreaker.closed();
        for (int call = 0; call < 400; call++) {
            CallResult result = call % 4 == 0 ? CallResult.FAILED : CallResult.ANSWERED;
            breaker.recordOldVersionCall(result, MICROS);
            breaker.recordNewVersionCall("new-" + call / 4 % 2, result, MICROS, 2, call);
        }
        assertThat(breaker.isOpen(400)).isFalse();
    }
}
