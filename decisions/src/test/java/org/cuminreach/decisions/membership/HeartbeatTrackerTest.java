package org.cuminreach.decisions.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cuminreach.settings.Address;

class HeartbeatTrackerTest {
    private static final Address ADDRESS = new Address("10.0.0.1", 80);

    private static TargetHeartbeat heartbeat(
            String instance, long start, long sequence, boolean draining) {
        return new TargetHeartbeat(
                instance, start, sequence, "arkiv", "v1", ADDRESS, 9, draining, OptionalLong.of(0));
    }

    /** The latest heartbeat of the latest start counts, in any order of arrival. */
    @Property(seed = "81", tries = 500)
    void orderOfArrivalDoesNotMatter(@ForAll long seed) {
        List<TargetHeartbeat> heartbeats = new ArrayList<>();
        for (long start = 1; start <= 3; start++) {
            for (long sequence = 1; sequence <= 4; sequence++) {
                heartbeats.add(
                        heartbeat("i-" + (start == 2 ? 1 : start), start, sequence, sequence == 4));
            }
        }
        Collections.shuffle(heartbeats, new Random(seed));
        HeartbeatTracker tracker = HeartbeatTracker.empty();
        heartbeats.forEach(tracker::record);

        assertThat(tracker.latest()).hasValue(heartbeat("i-3", 3, 4, true));
    }

    @Example
    void deregisteredTargetIsReadyOnlyAfterRestart() {
        HeartbeatTracker tracker = HeartbeatTracker.empty();
        tracker.record(heartbeat("i-1", 1, 1, false));
        assertThat(tracker.recordDeregistration("i-1", 1)).isTrue();

        assertThat(tracker.record(heartbeat("i-1", 1, 2, false)))
                .isEqualTo(new HeartbeatOutcome.Accepted(TargetPhase.DRAINING));
        assertThat(tracker.record(heartbeat("i-1", 2, 1, false)))
                .isEqualTo(new HeartbeatOutcome.Accepted(TargetPhase.READY));
    }

    /** A restarted node may receive the deregistration of its target before any heartbeat. */
    @Example
    void targetDeregisteredBeforeFirstHeartbeatDoesNotBecomeReady() {
        HeartbeatTracker tracker = HeartbeatTracker.empty();
        assertThat(tracker.recordDeregistration("i-1", 500)).isFalse();

        assertThat(tracker.record(heartbeat("i-1", 100, 7, false)))
                .isInstanceOf(HeartbeatOutcome.Outdated.class);
        assertThat(tracker.record(heartbeat("i-1", 600, 1, false)))
                .isEqualTo(new HeartbeatOutcome.Accepted(TargetPhase.READY));
    }

    @Example
    void deregistrationOfAnotherTargetChangesNothing() {
        HeartbeatTracker tracker = HeartbeatTracker.empty();
        tracker.record(heartbeat("i-2", 2, 1, false));

        assertThat(tracker.recordDeregistration("i-1", 1)).isFalse();
        assertThat(tracker.record(heartbeat("i-1", 1, 9, true)))
                .isInstanceOf(HeartbeatOutcome.Outdated.class);
    }
}
