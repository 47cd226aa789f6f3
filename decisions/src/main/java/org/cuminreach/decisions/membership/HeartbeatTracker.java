package org.cuminreach.decisions.membership;

import java.util.Optional;

/**
 * Tracks the latest heartbeat of the target next to a node. Heartbeats may arrive late and out of
 * order: one of an earlier start, or an earlier one of the current start, changes nothing. A target
 * that has deregistered becomes ready again only with a new start. Not thread-safe.
 */
public final class HeartbeatTracker {
    private Optional<TargetHeartbeat> latest = Optional.empty();
    private boolean draining;
    private Optional<EarlyDeregistration> earlyDeregistration = Optional.empty();

    /** Deregistration of a target without a heartbeat so far, as after a restart of the node. */
    private record EarlyDeregistration(String instance, long wallMillis) {
        private boolean covers(TargetHeartbeat heartbeat) {
            return heartbeat.instance().equals(instance) && heartbeat.startMillis() <= wallMillis;
        }
    }

    private HeartbeatTracker() {}

    /**
     * Returns a tracker that has received no heartbeat.
     *
     * @return the tracker
     */
    public static HeartbeatTracker empty() {
        return new HeartbeatTracker();
    }

    /**
     * Records a heartbeat.
     *
     * @param heartbeat the heartbeat
     * @return whether it is the latest one
     */
    public HeartbeatOutcome record(TargetHeartbeat heartbeat) {
        boolean known = latest.isPresent();
        if (known && heartbeat.startMillis() < latest.get().startMillis()) {
            return new HeartbeatOutcome.Outdated("heartbeat of an earlier start");
        }
        if (earlyDeregistration.filter(earlier -> earlier.covers(heartbeat)).isPresent()) {
            return new HeartbeatOutcome.Outdated("target has deregistered");
        }
        boolean sameStart = known && isSameStart(heartbeat, latest.get());
        if (sameStart && heartbeat.sequence() <= latest.get().sequence()) {
            return new HeartbeatOutcome.Outdated("heartbeat repeated or out of order");
        }
        draining = sameStart && draining || heartbeat.draining();
        latest = Optional.of(heartbeat);
        return new HeartbeatOutcome.Accepted(draining ? TargetPhase.DRAINING : TargetPhase.READY);
    }

    /**
     * Records the deregistration of a target, which may arrive before its first heartbeat.
     *
     * @param instance identity of the target
     * @param wallMillis current wall-clock time, which separates the start that deregisters from a
     *     later start with the same identity
     * @return whether it is the current target
     */
    public boolean recordDeregistration(String instance, long wallMillis) {
        boolean isCurrent =
                latest.filter(heartbeat -> heartbeat.instance().equals(instance)).isPresent();
        draining |= isCurrent;
        if (!isCurrent) {
            earlyDeregistration = Optional.of(new EarlyDeregistration(instance, wallMillis));
        }
        return isCurrent;
    }

    /**
     * Records that the current target has stated in an answer that it is about to stop.
     *
     * @param startIdentity identity of the start that stated it
     */
    public void recordLeaving(String startIdentity) {
        draining |=
                latest.filter(heartbeat -> heartbeat.startIdentity().equals(startIdentity))
                        .isPresent();
    }

    /**
     * Returns the latest heartbeat.
     *
     * @return the heartbeat, or empty when none was received
     */
    public Optional<TargetHeartbeat> latest() {
        return latest;
    }

    private static boolean isSameStart(TargetHeartbeat one, TargetHeartbeat other) {
        return one.startMillis() == other.startMillis() && one.instance().equals(other.instance());
    }
}
