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
    private static final long DRAIN_DELAY_MILLIS = 700;

    private final TargetAnnouncer announcer;
    private final TargetAdmissionHandler admissionHandler;
    private final Runnable sendAnnouncement;
    private final HeartbeatTracker heartbeats = HeartbeatTracker.empty();
    private boolean stopping;

    private LocalTarget(
            TargetAnnouncer announcer, TargetAdmissionHandler guard, Runnable announce) {
        this.announcer = announcer;
        this.admissionHandler = guard;
        this.sendAnnouncement = announce;
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
            TargetAnnouncer announcer, TargetAdmissionHandler guard, Runnable announce) {
        return new LocalTarget(announcer, guard, announce);
    }

    /**
     * Takes a beat of the target.
     *
     * @param beat the beat
     * @param nowMillis present time
     * @return what became of it
     */
    public synchronized HeartbeatOutcome recordHeartbeat(TargetHeartbeat beat, long nowMillis) {
        HeartbeatOutcome outcome = heartbeats.record(beat);
        if (outcome instanceof HeartbeatOutcome.Accepted taken) {
            updateTarget(beat, taken.phase(), nowMillis);
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
    public synchronized void recordDeregistration(
            String instance, long nowMillis, long wallMillis) {
        if (heartbeats.recordDeregistration(instance, wallMillis)) {
            heartbeats
                    .latest()
                    .ifPresent(beat -> updateTarget(beat, TargetPhase.DRAINING, nowMillis));
        } else {
            LOGGER.info("event=leave_noted instance={} reason=not_the_present_target", instance);
        }
    }

    /** Ends the announcements of the target: the node beside it stops. */
    public synchronized void stop() {
        stopping = true;
        announcer.setPhase(TargetPhase.GONE);
        sendAnnouncement.run();
    }

    private void updateTarget(TargetHeartbeat beat, TargetPhase phase, long nowMillis) {
        TargetDescription described =
                new TargetDescription(
                        beat.startIdentity(),
                        beat.service(),
                        beat.version(),
                        beat.address(),
                        beat.slots(),
                        stopping ? TargetPhase.GONE : phase);
        if (!announcer.updateTarget(described)) {
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
            admissionHandler.drain(nowMillis + DRAIN_DELAY_MILLIS);
        }
        sendAnnouncement.run();
    }
}
