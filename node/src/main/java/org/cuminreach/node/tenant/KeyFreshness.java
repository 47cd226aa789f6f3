package org.cuminreach.node.tenant;

import java.util.OptionalLong;
import java.util.function.Supplier;
import org.cuminreach.decisions.configuration.ConfigurationHolder;
import org.cuminreach.decisions.tenant.ClockReading;
import org.cuminreach.decisions.tenant.Freshness;
import org.cuminreach.decisions.tenant.FreshnessLease;
import org.cuminreach.wire.generated.Heartbeat;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the proof that the configuration of a node is current. Questions and answers travel with
 * the heartbeats of its control session. Thread-safe.
 */
public final class KeyFreshness {
    private static final Logger LOGGER = LoggerFactory.getLogger(KeyFreshness.class);

    private final ConfigurationHolder holder;
    private final OptionalLong revocationMillis;
    private final FreshnessLease lease;
    private final Supplier<ClockReading> clocks;
    private boolean held;

    private KeyFreshness(
            ConfigurationHolder holder,
            OptionalLong revocationMillis,
            Supplier<ClockReading> clocks) {
        this.holder = holder;
        this.revocationMillis = revocationMillis;
        this.lease = FreshnessLease.within(revocationMillis);
        this.clocks = clocks;
    }

    /**
     * Returns a node's proof, which does not hold yet.
     *
     * @param holder holds the configuration of the node
     * @param revocationMillis time after which a key that was taken away must run nowhere, in
     *     milliseconds; without it keys pass without a proof
     * @param clocks reads the clocks
     * @return the proof
     */
    public static KeyFreshness create(
            ConfigurationHolder holder,
            OptionalLong revocationMillis,
            Supplier<ClockReading> clocks) {
        return new KeyFreshness(holder, revocationMillis, clocks);
    }

    /**
     * Adds a question to a heartbeat that is about to be sent, if keys matter to the node.
     *
     * @param heartbeat the heartbeat
     * @return the same heartbeat
     */
    public synchronized Heartbeat addQuestion(Heartbeat heartbeat) {
        if (isNeeded()) {
            heartbeat.setFreshnessQuestion(lease.ask(clocks.get()));
            recordHeld(lease.remainingMillis(heldVersion(), clocks.get()) > 0);
        }
        return heartbeat;
    }

    /**
     * Records the answer in a heartbeat of a control, if it has one.
     *
     * @param heartbeat the heartbeat
     */
    public synchronized void recordAnswer(Heartbeat heartbeat) {
        if (heartbeat.isSetAnsweredQuestion() && heartbeat.isSetConfirmedVersion()) {
            lease.recordAnswer(
                    heartbeat.getAnsweredQuestion(), heartbeat.getConfirmedVersion(), clocks.get());
        }
    }

    /**
     * Returns how far the node may rely on its configuration now.
     *
     * @return the freshness
     */
    public synchronized Freshness current() {
        return lease.freshness(heldVersion(), clocks.get());
    }

    /**
     * Returns for how long keys may pass from now on.
     *
     * @return the time in milliseconds, 0 when no key may pass; empty when nothing bounds it
     */
    public synchronized OptionalLong remainingMillis() {
        return revocationMillis.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(lease.remainingMillis(heldVersion(), clocks.get()));
    }

    private boolean isNeeded() {
        return revocationMillis.isPresent()
                || holder.activeConfiguration().document().requiresKeys();
    }

    private long heldVersion() {
        return holder.activeConfiguration().version();
    }

    private void recordHeld(boolean holds) {
        if (holds != held) {
            LOGGER.info(
                    "event={} configuration={}",
                    holds ? "key_lease_held" : "key_lease_lost",
                    heldVersion());
            held = holds;
        }
    }
}
