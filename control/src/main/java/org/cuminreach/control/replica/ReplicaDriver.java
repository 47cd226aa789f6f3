package org.cuminreach.control.replica;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import org.cuminreach.control.storage.DataFolder;
import org.cuminreach.decisions.agreement.AgreementSettings;
import org.cuminreach.decisions.agreement.DurableState;
import org.cuminreach.decisions.agreement.Effect;
import org.cuminreach.decisions.agreement.Membership;
import org.cuminreach.decisions.agreement.MembershipRequest;
import org.cuminreach.decisions.agreement.Message;
import org.cuminreach.decisions.agreement.Replica;
import org.cuminreach.decisions.agreement.Snapshot;
import org.cuminreach.decisions.configuration.HistoryEntry;
import org.cuminreach.decisions.configuration.MeshCommand;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.decisions.configuration.SubmissionOutcome;
import org.cuminreach.wire.ConfigurationCodec;
import org.cuminreach.wire.RaftCodec;
import org.cuminreach.wire.StructCodec;
import org.cuminreach.wire.generated.Frame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries out what the {@link Replica} decides. One thread takes the steps in batches, saves all
 * that a batch asks for with one sync, and only then sends and applies; callers never wait for the
 * disk. Futures complete and listeners hear on that thread.
 */
public final class ReplicaDriver {
    private static final Logger LOGGER = LoggerFactory.getLogger(ReplicaDriver.class);
    private static final int ENTRIES_BETWEEN_SNAPSHOTS = 1_000;
    private static final int MOST_QUEUED_PROPOSALS = 1_000;

    /** One step of the replica; it may add completions. */
    private interface Step {
        List<Effect> take(Completions completions);
    }

    private final String self;
    private final PeerNetwork network;
    private final Replica replica;
    private final ReplicaStorage storage;
    private final PatientSaving patience;
    private final ReplicatedState state;
    private final ReplicaInbox<Step> inbox;
    private final ProposalSteps steps;
    private final PendingProposals proposals = new PendingProposals();
    private final PendingConfirmations confirmations;
    private final AtomicBoolean tickQueued = new AtomicBoolean();

    private ReplicaDriver(
            String self,
            DataFolder folder,
            PeerNetwork network,
            RandomGenerator random,
            long nowMillis,
            ReplicaFailureListener failures,
            int entriesBetweenSnapshots)
            throws IOException {
        this.self = self;
        this.network = network;
        DurableState durable = folder.load();
        replica = Replica.start(self, AgreementSettings.standard(), random, durable, nowMillis);
        state = new ReplicatedState(durable.snapshot());
        storage =
                new ReplicaStorage(
                        folder,
                        entriesBetweenSnapshots,
                        durable.snapshot().map(Snapshot::lastIndex).orElse(0L));
        patience = new PatientSaving(storage);
        steps = new ProposalSteps(replica, storage, state, proposals);
        confirmations = new PendingConfirmations(random.nextLong());
        inbox = new ReplicaInbox<>(this::carryOut, failures);
    }

    /**
     * Starts a replica from its data folder.
     *
     * @param self its identity
     * @param folder its data folder
     * @param network carries its messages
     * @param random source of its election jitter
     * @param nowMillis present time, in milliseconds of a clock that never goes back
     * @param failures hears when the replica cannot go on
     * @return the driver
     * @throws IOException when the folder cannot be read or is damaged
     */
    public static ReplicaDriver start(
            String self,
            DataFolder folder,
            PeerNetwork network,
            RandomGenerator random,
            long nowMillis,
            ReplicaFailureListener failures)
            throws IOException {
        return start(self, folder, network, random, nowMillis, failures, ENTRIES_BETWEEN_SNAPSHOTS);
    }

    static ReplicaDriver start(
            String self,
            DataFolder folder,
            PeerNetwork network,
            RandomGenerator random,
            long nowMillis,
            ReplicaFailureListener failures,
            int entriesBetweenSnapshots)
            throws IOException {
        ReplicaDriver driver =
                new ReplicaDriver(
                        self,
                        folder,
                        network,
                        random,
                        nowMillis,
                        failures,
                        entriesBetweenSnapshots);
        network.follow(driver.membership());
        driver.inbox.start();
        return driver;
    }

    /**
     * Ends the thread that writes, after its present batch.
     *
     * @throws InterruptedException when interrupted while it ends
     */
    public void close() throws InterruptedException {
        inbox.close();
    }

    /**
     * Adds a listener.
     *
     * @param listener hears of changes from now on, on the thread that writes
     */
    public void listen(MeshListener listener) {
        state.listen(listener);
    }

    /**
     * Lets time pass.
     *
     * @param nowMillis present time
     */
    public void tick(long nowMillis) {
        if (tickQueued.compareAndSet(false, true)) {
            inbox.add(
                    completions -> {
                        tickQueued.set(false);
                        return replica.tick(nowMillis);
                    });
        }
    }

    /**
     * Takes a message of another replica.
     *
     * @param from identity of the sender
     * @param message the message
     * @param nowMillis present time
     */
    public void receive(String from, Message message, long nowMillis) {
        inbox.add(completions -> replica.receive(nowMillis, from, message));
    }

    /**
     * Proposes a command here. On a replica that does not lead it is not run.
     *
     * @param command the command
     * @param nowMillis present time
     * @return completes when the log has decided or nothing more can be known
     */
    public CompletableFuture<SubmitResult> propose(MeshCommand command, long nowMillis) {
        CompletableFuture<SubmitResult> result = new CompletableFuture<>();
        byte[] bytes = StructCodec.encode(ConfigurationCodec.toStruct(command));
        boolean queued =
                inbox.size() < MOST_QUEUED_PROPOSALS
                        && inbox.add(
                                completions ->
                                        steps.propose(
                                                command, bytes, nowMillis, result, completions));
        if (!queued) {
            result.complete(new SubmitResult.NotRun("this control has too much to do"));
        }
        return result;
    }

    /**
     * Changes the membership of the controls.
     *
     * @param request what is asked for
     * @param nowMillis present time
     * @return completes empty when the change was begun, or with the reason why not
     */
    public CompletableFuture<Optional<String>> changeMembership(
            MembershipRequest request, long nowMillis) {
        CompletableFuture<Optional<String>> result = new CompletableFuture<>();
        boolean queued =
                inbox.add(
                        completions ->
                                steps.changeMembership(request, nowMillis, result, completions));
        if (!queued) {
            result.complete(Optional.of("this control stops"));
        }
        return result;
    }

    /**
     * Waits until a quorum has confirmed, since this call, that the state here is current.
     *
     * @param nowMillis present time
     * @return completes with the confirmed index once it is applied; the caller bounds the wait
     */
    public CompletableFuture<Long> confirm(long nowMillis) {
        CompletableFuture<Long> result = new CompletableFuture<>();
        inbox.add(
                completions -> {
                    long confirmation = confirmations.add(result);
                    result.whenComplete((index, failure) -> forget(confirmation));
                    return replica.confirm(nowMillis, confirmation);
                });
        return result;
    }

    /**
     * Tells whether this control is in contact with a quorum.
     *
     * @param nowMillis present time
     * @return false when cut off
     */
    public synchronized boolean hasQuorum(long nowMillis) {
        return replica.hasQuorum(nowMillis);
    }

    /**
     * Tells whether this control leads.
     *
     * @return true for the leader
     */
    public synchronized boolean isLeader() {
        return replica.isLeader();
    }

    /**
     * Returns the leader.
     *
     * @return its identity, if known
     */
    public synchronized Optional<String> leader() {
        return replica.leader();
    }

    /**
     * Returns the term.
     *
     * @return latest term seen
     */
    public synchronized long term() {
        return replica.term();
    }

    /**
     * Returns the highest index known to be committed.
     *
     * @return the index
     */
    public synchronized long commitIndex() {
        return replica.commitIndex();
    }

    /**
     * Returns the membership in force.
     *
     * @return the membership
     */
    public synchronized Membership membership() {
        return replica.membership();
    }

    /**
     * Returns how long the other members have been silent.
     *
     * @param nowMillis present time
     * @return time since each was last heard, in milliseconds; empty on all but the leader
     */
    public synchronized Map<String, Long> silentMillis(long nowMillis) {
        return replica.silentMillis(nowMillis);
    }

    /**
     * Returns the history.
     *
     * @return the latest entries, oldest first
     */
    public List<HistoryEntry> history() {
        return state.history();
    }

    /**
     * Returns the agreed configuration as far as it is known here.
     *
     * @return the configuration
     */
    public MeshConfiguration configuration() {
        return state.configuration();
    }

    /**
     * Returns this replica's identity.
     *
     * @return the identity
     */
    public String self() {
        return self;
    }

    private void forget(long confirmation) {
        inbox.add(
                completions -> {
                    confirmations.forget(confirmation);
                    return List.of();
                });
    }

    private void carryOut(List<Step> batch) {
        Completions completions = new Completions();
        List<Effect> effects = new ArrayList<>();
        synchronized (this) {
            batch.forEach(step -> effects.addAll(step.take(completions)));
        }
        carryOut(effects, completions);
        compactIfDue();
        completions.run();
    }

    private void carryOut(List<Effect> effects, Completions completions) {
        patience.save(effects);
        effects.forEach(effect -> carryOut(effect, completions));
    }

    private void carryOut(Effect effect, Completions completions) {
        switch (effect) {
            case Effect.SaveVote saved -> {}
            case Effect.SaveEntries saved -> network.follow(membership());
            case Effect.SaveSnapshot saved -> network.follow(membership());
            case Effect.Send send ->
                    network.send(send.to(), Frame.agreement(RaftCodec.toStruct(send.message())));
            case Effect.Apply apply -> {
                Optional<SubmissionOutcome> outcome = state.apply(apply.entry(), completions);
                proposals.applied(apply.entry(), outcome, completions);
                confirmations.applied(state.appliedIndex(), completions);
            }
            case Effect.Restore restore -> {
                state.restore(restore.snapshot(), completions);
                proposals.skipped(state.appliedIndex(), state::answer, completions);
                confirmations.applied(state.appliedIndex(), completions);
            }
            case Effect.Confirmed confirmed -> {
                confirmations.confirmed(confirmed.confirmation(), confirmed.index());
                confirmations.applied(state.appliedIndex(), completions);
            }
            case Effect.LeaderChanged changed ->
                    LOGGER.info(
                            "event=leader_changed term={} leader={}",
                            changed.term(),
                            changed.leader().orElse("none"));
        }
    }

    private void compactIfDue() {
        long appliedIndex = state.appliedIndex();
        if (!storage.snapshotDue(appliedIndex)) {
            return;
        }
        List<Effect> effects;
        synchronized (this) {
            effects = replica.compact(appliedIndex, state.encoded());
        }
        patience.save(effects);
    }
}
