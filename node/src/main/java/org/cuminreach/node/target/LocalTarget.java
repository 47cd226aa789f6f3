package org.cuminreach.node.target;

import org.cuminreach.decisions.membership.HeartbeatOutcome;
import org.cuminreach.decisions.membership.HeartbeatTracker;
import org.cuminreach.decisions.membership.TargetHeartbeat;
import org.cuminreach.decisions.membership.TargetPhase;
import org.cuminreach.node.settings.TargetDescription;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The target beside the node, as it describes itself by its beats. */
public final class LocalTarget {
    private static final Logger LOGGER = LoggerFactory.getLogger(LocalTarget.class);

    /**
     * Time after a target's leave for which it still takes calls, in milliseconds. Other nodes hear
     * of the leave within it; it stays well below the two seconds that a leaving target may ask.
     */
    private static final long LEAVE_MILLIS = 700;

    private final TargetAnnouncer announcer;
    private final TargetGuard guard;
    private final Runnable announce;
    private final HeartbeatTracker beats = HeartbeatTracker.empty();
    private boolean stopping;

    private LocalTarget(TargetAnnouncer announcer, TargetGuard guard, Runnable announce) {
        this.announcer = announcer;
        this.guard = guard;
        this.announce = announce;
    }

    /**
     * Returns the record of a target that has not described itself yet.
     *
     * @param announcer tells the controls of it
     * @param guard brings calls to it
     * @param announce sends the next announcement
     * @return the record
     */
    public static LocalTarget create(
            TargetAnnouncer announcer, TargetGuard guard, Runnable announce) {
        return new LocalTarget(announcer, guard, announce);
    }

    /**
     * Takes a beat of the target.
     *
     * @param beat the beat
     * @param nowMillis present time
     * @return what became of it
     */
    public synchronized HeartbeatOutcome heard(TargetHeartbeat beat, long nowMillis) {
        HeartbeatOutcome outcome = beats.record(beat);
        if (outcome instanceof HeartbeatOutcome.Accepted taken) {
            describe(beat, taken.phase(), nowMillis);
        } else {
            LOGGER.info("event=beat_ignored instance={} outcome={}", beat.instance(), outcome);
        }
        return outcome;
    }

    /**
     * Takes the leave of a target.
     *
     * @param instance identity that it gives
     * @param nowMillis present time
     * @param wallMillis present wall-clock time
     */
    public synchronized void left(String instance, long nowMillis, long wallMillis) {
        if (beats.recordDeregistration(instance, wallMillis)) {
            beats.latest().ifPresent(beat -> describe(beat, TargetPhase.DRAINING, nowMillis));
        } else {
            LOGGER.info("event=leave_noted instance={} reason=not_the_present_target", instance);
        }
    }

    /** Ends the announcements of the target: the node beside it stops. */
    public synchronized void stop() {
        stopping = true;
        announcer.enter(TargetPhase.GONE);
        announce.run();
    }

    private void describe(TargetHeartbeat beat, TargetPhase phase, long nowMillis) {
        TargetDescription described =
                new TargetDescription(
                        beat.startIdentity(),
                        beat.service(),
                        beat.version(),
                        beat.address(),
                        beat.slots(),
                        stopping ? TargetPhase.GONE : phase);
        if (!announcer.describe(described)) {
            return;
        }
        LOGGER.info(
                "event=target_described instance={} service={} version={} slots={} phase={}",
                described.instance(),
                described.service(),
                described.version(),
                described.slots(),
                described.phase());
        if (described.phase() != TargetPhase.READY) {
            guard.drain(nowMillis + LEAVE_MILLIS);
        }
        announce.run();
    }
}
