package org.cuminreach.decisions.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cuminreach.settings.Address;

class HeartbeatTrackerTest {
    private static final Address ADDRESS = new Address("10.0.0.1", 80);

    private static TargetHeartbeat heartbeat(
            String instance, long born, long sequence, boolean leaving) {
        return new TargetHeartbeat(instance, born, sequence, "arkiv", "v1", ADDRESS, 9, leaving, 0);
    }

    /** Whatever the order of arrival, the latest word of the latest start counts. */
    @Property(seed = "81", tries = 500)
    void orderOfArrivalDoesNotMatter(@ForAll long seed) {
        List<TargetHeartbeat> beats = new ArrayList<>();
        for (long born = 1; born <= 3; born++) {
            for (long sequence = 1; sequence <= 4; sequence++) {
                beats.add(heartbeat("i-" + (born == 2 ? 1 : born), born, sequence, sequence == 4));
            }
        }
        Collections.shuffle(beats, new Random(seed));
        HeartbeatTracker state = HeartbeatTracker.none();
        beats.forEach(state::record);

        assertThat(state.latest()).hasValue(heartbeat("i-3", 3, 4, true));
    }

    @Example
    void deregisteredTargetIsReadyOnlyAfterRestart() {
        HeartbeatTracker state = HeartbeatTracker.none();
        state.record(heartbeat("i-1", 1, 1, false));
        assertThat(state.recordDeregistration("i-1", 1)).isTrue();

        assertThat(state.record(heartbeat("i-1", 1, 2, false)))
                .isEqualTo(new HeartbeatOutcome.Accepted(TargetPhase.DRAINING));
        assertThat(state.record(heartbeat("i-1", 2, 1, false)))
                .isEqualTo(new HeartbeatOutcome.Accepted(TargetPhase.READY));
    }

    /** A node that was restarted may hear the leave of its target before any beat of it. */
    @Example
    void targetDeregisteredBeforeFirstHeartbeatDoesNotBecomeReady() {
        HeartbeatTracker state = HeartbeatTracker.none();
        assertThat(state.recordDeregistration("i-1", 500)).isFalse();

        assertThat(state.record(heartbeat("i-1", 100, 7, false)))
                .isInstanceOf(HeartbeatOutcome.Outdated.class);
        assertThat(state.record(heartbeat("i-1", 600, 1, false)))
                .isEqualTo(new HeartbeatOutcome.Accepted(TargetPhase.READY));
    }

    @Example
    void deregistrationOfAnotherTargetChangesNothing() {
        HeartbeatTracker state = HeartbeatTracker.none();
        state.record(heartbeat("i-2", 2, 1, false));

        assertThat(state.recordDeregistration("i-1", 1)).isFalse();
        assertThat(state.record(heartbeat("i-1", 1, 9, true)))
                .isInstanceOf(HeartbeatOutcome.Outdated.class);
    }
}
