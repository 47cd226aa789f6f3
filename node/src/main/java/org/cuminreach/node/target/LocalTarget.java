package org.cuminreach.node.target;

import org.cuminreach.decisions.membership.HeartbeatOutcome;
import org.cuminreach.decisions.membership.HeartbeatTracker;
import org.cuminreach.decisions.membership.TargetHeartbeat;
import org.cuminreach.decisions.membership.TargetPhase;
import org.cuminreach.node.settings.TargetDescription;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The target next to the node, as described by its heartbeats. */
public final class LocalTarget {
    private static final Logger LOGGER = LoggerFactory.getLogger(LocalTarget.class);

    /**
     * Time for which a target still receives calls after it has deregistered, so that other nodes
     * receive its announcement meanwhile. It is well below the two seconds that a deregistering
     * target may request.
     */
    private static final long DRAIN_DELAY_MILLIS = 700;

    private final TargetAnnouncer announcer;
    private final TargetAdmissionHandler admissionHandler;
    private final Runnable sendAnnouncement;
    private final HeartbeatTracker heartbeats = HeartbeatTracker.empty();
    private boolean stopping;

    private LocalTarget(
            TargetAnnouncer announcer,
            TargetAdmissionHandler admissionHandler,
            Runnable sendAnnouncement) {
        this.announcer = announcer;
        this.admissionHandler = admissionHandler;
        this.sendAnnouncement = sendAnnouncement;
    }

    /**
     * Returns a local target that has not sent a heartbeat yet.
     *
     * @param announcer makes its announcements
     * @param admissionHandler admits calls to it
     * @param sendAnnouncement sends the next announcement to the control process
     * @return the local target
     */
    public static LocalTarget create(
            TargetAnnouncer announcer,
            TargetAdmissionHandler admissionHandler,
            Runnable sendAnnouncement) {
        return new LocalTarget(announcer, admissionHandler, sendAnnouncement);
    }

    /**
     * Records a heartbeat of the target.
     *
     * @param heartbeat the heartbeat
     * @param nowMillis current time
     * @return whether the heartbeat was accepted
     */
    public synchronized HeartbeatOutcome recordHeartbeat(
            TargetHeartbeat heartbeat, long nowMillis) {
        HeartbeatOutcome outcome = heartbeats.record(heartbeat);
        if (outcome instanceof HeartbeatOutcome.Accepted accepted) {
            admissionHandler
                    .coldTarget()
                    .record(heartbeat.startIdentity(), heartbeat.coldRemainingMillis(), nowMillis);
            updateTarget(heartbeat, accepted.phase(), nowMillis);
            admissionHandler.onTimer(nowMillis);
        } else {
            LOGGER.info(
                    "event=heartbeat_ignored instance={} outcome={}",
                    heartbeat.instance(),
                    outcome);
        }
        return outcome;
    }

    /**
     * Records the deregistration of a target.
     *
     * @param instance identity of the target
     * @param nowMillis current time
     * @param wallMillis current wall-clock time
     */
    public synchronized void recordDeregistration(
            String instance, long nowMillis, long wallMillis) {
        if (heartbeats.recordDeregistration(instance, wallMillis)) {
            heartbeats
                    .latest()
                    .ifPresent(
                            heartbeat -> updateTarget(heartbeat, TargetPhase.DRAINING, nowMillis));
        } else {
            LOGGER.info(
                    "event=early_deregistration_recorded instance={} reason=not_the_current_target",
                    instance);
        }
    }

    /**
     * Records that a target has stated in an answer that it is about to stop. One that is only
     * known from the settings stays announced, as its next start could not be told apart; callers
     * avoid it for a while.
     *
     * @param instance start of the target
     * @param nowMillis current time
     */
    public synchronized void recordLeaving(String instance, long nowMillis) {
        heartbeats.recordLeaving(instance);
        announcer
                .target()
                .filter(target -> heartbeats.latest().isPresent())
                .filter(target -> target.instance().equals(instance))
                .filter(target -> target.phase() == TargetPhase.READY)
                .ifPresent(
                        target ->
                                applyDescription(
                                        target.withPhase(TargetPhase.DRAINING), nowMillis));
    }

    /** Announces that the target is gone, because the node is stopping. */
    public synchronized void stop() {
        stopping = true;
        announcer.setPhase(TargetPhase.GONE);
        sendAnnouncement.run();
    }

    private void updateTarget(TargetHeartbeat heartbeat, TargetPhase phase, long nowMillis) {
        TargetDescription description =
                new TargetDescription(
                        heartbeat.startIdentity(),
                        heartbeat.service(),
                        heartbeat.version(),
                        heartbeat.address(),
                        heartbeat.slots(),
                        stopping ? TargetPhase.GONE : phase);
        applyDescription(description, nowMillis);
    }

    private void applyDescription(TargetDescription description, long nowMillis) {
        if (!announcer.updateTarget(description)) {
            return;
        }
        LOGGER.info(
                "event=target_described instance={} service={} version={} slots={} phase={}",
                description.instance(),
                description.service(),
                description.version(),
                description.slots(),
                description.phase());
        if (description.phase() != TargetPhase.READY) {
            admissionHandler.drain(nowMillis + DRAIN_DELAY_MILLIS);
        }
        sendAnnouncement.run();
    }
}
