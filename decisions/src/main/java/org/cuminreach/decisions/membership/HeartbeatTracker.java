package org.cuminreach.decisions.membership;

import java.util.Optional;

/**
 * The latest word of the target beside a node. Beats may arrive late and out of order: a beat of an
 * earlier start, or an earlier beat of the present one, changes nothing. A target that leaves does
 * not come back under the same start. Not safe for use by several threads at once.
 */
public final class HeartbeatTracker {
    private Optional<TargetHeartbeat> latest = Optional.empty();
    private boolean recordDeregistration;
    private Optional<EarlyDeregistration> earlyDeregistration = Optional.empty();

    /** A leave of a target that had not been heard of, as after a restart of the node. */
    private record EarlyDeregistration(String instance, long wallMillis) {
        private boolean covers(TargetHeartbeat beat) {
            return beat.instance().equals(instance) && beat.startMillis() <= wallMillis;
        }
    }

    private HeartbeatTracker() {}

    /**
     * Returns the state of a node that has heard of no target.
     *
     * @return the state
     */
    public static HeartbeatTracker none() {
        return new HeartbeatTracker();
    }

    /**
     * Takes a beat.
     *
     * @param beat the beat
     * @return whether it is the latest word
     */
    public HeartbeatOutcome record(TargetHeartbeat beat) {
        boolean known = latest.isPresent();
        if (known && beat.startMillis() < latest.get().startMillis()) {
            return new HeartbeatOutcome.Outdated("an earlier start");
        }
        if (earlyDeregistration.filter(leave -> leave.covers(beat)).isPresent()) {
            return new HeartbeatOutcome.Outdated("it has left");
        }
        boolean sameStart = known && isSameStart(beat, latest.get());
        if (sameStart && beat.sequence() <= latest.get().sequence()) {
            return new HeartbeatOutcome.Outdated("an earlier beat");
        }
        recordDeregistration = sameStart && recordDeregistration || beat.draining();
        latest = Optional.of(beat);
        return new HeartbeatOutcome.Accepted(
                recordDeregistration ? TargetPhase.DRAINING : TargetPhase.READY);
    }

    /**
     * Notes that a target takes its leave.
     *
     * @param instance identity that it gives; it may come before any beat of it
     * @param wallMillis present wall-clock time, by which a later start under the same identity is
     *     told from the one that leaves
     * @return whether it is the present target
     */
    public boolean recordDeregistration(String instance, long wallMillis) {
        boolean present = latest.filter(beat -> beat.instance().equals(instance)).isPresent();
        recordDeregistration |= present;
        if (!present) {
            earlyDeregistration = Optional.of(new EarlyDeregistration(instance, wallMillis));
        }
        return present;
    }

    /**
     * Returns the latest beat.
     *
     * @return the beat, or empty when none was heard
     */
    public Optional<TargetHeartbeat> latest() {
        return latest;
    }

    private static boolean isSameStart(TargetHeartbeat one, TargetHeartbeat other) {
        return one.startMillis() == other.startMillis() && one.instance().equals(other.instance());
    }
}
