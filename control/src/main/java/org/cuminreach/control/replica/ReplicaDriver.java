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
import org.cuminreach.decisions.agreement.DurableState;
import org.cuminreach.decisions.agreement.Effect;
import org.cuminreach.decisions.agreement.Membership;
import org.cuminreach.decisions.agreement.MembershipRequest;
import org.cuminreach.decisions.agreement.Message;
import org.cuminreach.decisions.agreement.RaftSettings;
import org.cuminreach.decisions.agreement.Replica;
import org.cuminreach.decisions.configuration.HistoryEntry;
import org.cuminreach.decisions.configuration.MeshCommand;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.wire.ConfigurationCodec;
import org.cuminreach.wire.RaftCodec;
import org.cuminreach.wire.StructCodec;
import org.cuminreach.wire.generated.Frame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Executes the effects that the {@link Replica} decides on. One writer thread runs the steps in
 * batches, saves the entries of a batch with one sync, and only then sends messages and applies
 * entries, so that callers never wait for the disk. Futures are completed and listeners are
 * notified on that thread.
 */
public final class ReplicaDriver {
    private static final Logger LOGGER = LoggerFactory.getLogger(ReplicaDriver.class);
    private static final int ENTRIES_BETWEEN_SNAPSHOTS = 1_000;
    private static final int MAX_QUEUED_PROPOSALS = 1_000;

    /** One step of the replica, which may add actions to run once the lock is released. */
    private interface Step {
        List<Effect> run(Completions completions);
    }

    private final String self;
    private final PeerNetwork network;
    private final Replica replica;
    private final ReplicaStorage storage;
    private final RetryingSaver saver;
    private final ReplicatedState state;
    private final ReplicaWorkQueue<Step> workQueue;
    private final ProposalHandler proposalHandler;
    private final PendingProposals proposals = new PendingProposals();
    private final PendingConfirmations confirmations;
    private final EntryApplier applier;
    private final AtomicBoolean timerQueued = new AtomicBoolean();

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
        replica = Replica.start(self, RaftSettings.defaults(), random, durable, nowMillis);
        state = new ReplicatedState(durable.snapshot());
        storage = new ReplicaStorage(folder, entriesBetweenSnapshots, state.appliedIndex());
        saver = new RetryingSaver(storage);
        proposalHandler = new ProposalHandler(replica, storage, state, proposals);
        confirmations = new PendingConfirmations(random.nextLong());
        applier = new EntryApplier(state, proposals, confirmations);
        workQueue = new ReplicaWorkQueue<>(this::execute, failures);
    }

    /**
     * Starts a replica from its data folder.
     *
     * @param self its identity
     * @param folder its data folder
     * @param network sends its messages
     * @param random source of the random election timeouts
     * @param nowMillis current time, in milliseconds of a monotonic clock
     * @param failures is notified when the replica cannot continue
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
        network.updateMembership(driver.membership());
        driver.workQueue.start();
        return driver;
    }

    /**
     * Stops the writer thread after its current batch.
     *
     * @throws InterruptedException when interrupted while waiting for it
     */
    public void close() throws InterruptedException {
        workQueue.close();
    }

    /**
     * Adds a listener.
     *
     * @param listener is notified of later changes, on the writer thread
     */
    public void addListener(ConfigurationListener listener) {
        state.addListener(listener);
    }

    /**
     * Runs the election and heartbeat timers. A call is skipped while an earlier one is queued.
     *
     * @param nowMillis current time
     */
    public void onTimer(long nowMillis) {
        if (timerQueued.compareAndSet(false, true)) {
            workQueue.add(
                    completions -> {
                        timerQueued.set(false);
                        return replica.onTimer(nowMillis);
                    });
        }
    }

    /**
     * Handles a message of another replica.
     *
     * @param from identity of the sender
     * @param message the message
     * @param nowMillis current time
     */
    public void receive(String from, Message message, long nowMillis) {
        workQueue.add(completions -> replica.receive(nowMillis, from, message));
    }

    /**
     * Proposes a command. A replica that is not the leader rejects it.
     *
     * @param command the command
     * @param nowMillis current time
     * @return completes when the outcome is decided or can no longer be determined
     */
    public CompletableFuture<SubmitResult> propose(MeshCommand command, long nowMillis) {
        CompletableFuture<SubmitResult> result = new CompletableFuture<>();
        byte[] bytes = StructCodec.encode(ConfigurationCodec.toStruct(command));
        boolean queued =
                workQueue.size() < MAX_QUEUED_PROPOSALS
                        && workQueue.add(
                                completions ->
                                        proposalHandler.propose(
                                                command, bytes, nowMillis, result, completions));
        if (!queued) {
            result.complete(new SubmitResult.NotRun("this control has too much to do"));
        }
        return result;
    }

    /**
     * Changes the membership of the controls.
     *
     * @param request the requested change
     * @param nowMillis current time
     * @return completes empty when the change was appended to the log, or with the reason why not
     */
    public CompletableFuture<Optional<String>> changeMembership(
            MembershipRequest request, long nowMillis) {
        CompletableFuture<Optional<String>> result = new CompletableFuture<>();
        boolean queued =
                workQueue.add(
                        completions ->
                                proposalHandler.changeMembership(
                                        request, nowMillis, result, completions));
        if (!queued) {
            result.complete(Optional.of("this control stops"));
        }
        return result;
    }

    /**
     * Confirms with a quorum, after this call, that the state here is current.
     *
     * @param nowMillis current time
     * @return completes with the confirmed index once it is applied; the caller sets the timeout
     */
    public CompletableFuture<Long> confirm(long nowMillis) {
        CompletableFuture<Long> result = new CompletableFuture<>();
        workQueue.add(
                completions -> {
                    long confirmation = confirmations.add(result);
                    result.whenComplete(
                            (index, failure) ->
                                    workQueue.add(next -> removeConfirmation(confirmation)));
                    return replica.confirm(nowMillis, confirmation);
                });
        return result;
    }

    /**
     * Tells whether this control is in contact with a quorum.
     *
     * @param nowMillis current time
     * @return true while in contact
     */
    public synchronized boolean hasQuorum(long nowMillis) {
        return replica.hasQuorum(nowMillis);
    }

    /**
     * Tells whether this control is the leader.
     *
     * @return true for the leader
     */
    public synchronized boolean isLeader() {
        return replica.isLeader();
    }

    /**
     * Tells whether this control is the leader and has applied all that was committed before.
     *
     * @return false for a new leader whose configuration may still be an older one
     */
    public synchronized boolean isLeaderWithCurrentState() {
        return replica.isLeaderWithCurrentCommitIndex()
                && state.appliedIndex() >= replica.commitIndex();
    }

    /**
     * Returns the identity of the leader.
     *
     * @return the identity, if known
     */
    public synchronized Optional<String> leader() {
        return replica.leader();
    }

    /**
     * Returns the latest term seen.
     *
     * @return the term
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
     * Returns the number of committed entries that are not applied yet.
     *
     * @return number of entries, 0 when this control is up to date
     */
    public long unappliedEntries() {
        return Math.max(0, commitIndex() - state.appliedIndex());
    }

    /**
     * Returns the current membership.
     *
     * @return the membership
     */
    public synchronized Membership membership() {
        return replica.membership();
    }

    /**
     * Returns the time since the last response of each other member, in milliseconds.
     *
     * @param nowMillis current time
     * @return time by identity; empty on all but the leader
     */
    public synchronized Map<String, Long> silentMillis(long nowMillis) {
        return replica.silentMillis(nowMillis);
    }

    /**
     * Returns the latest entries of the configuration history.
     *
     * @return the entries, oldest first
     */
    public List<HistoryEntry> history() {
        return state.history();
    }

    /**
     * Returns the latest committed configuration that is applied here.
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

    private List<Effect> removeConfirmation(long confirmation) {
        confirmations.remove(confirmation);
        return List.of();
    }

    private void execute(List<Step> batch) {
        Completions completions = new Completions();
        List<Effect> effects = new ArrayList<>();
        synchronized (this) {
            batch.forEach(step -> effects.addAll(step.run(completions)));
        }
        saver.save(effects);
        effects.forEach(effect -> execute(effect, completions));
        applier.applySlice(ProcessClock::monotonicMillis, completions);
        if (applier.hasOutstanding()) {
            workQueue.add(next -> List.of());
        }
        compactIfDue();
        completions.run();
    }

    private void execute(Effect effect, Completions completions) {
        switch (effect) {
            case Effect.SaveVote saved -> {}
            case Effect.SaveEntries saved -> network.updateMembership(membership());
            case Effect.SaveSnapshot saved -> network.updateMembership(membership());
            case Effect.Send send ->
                    network.send(send.to(), Frame.agreement(RaftCodec.toStruct(send.message())));
            case Effect.Apply apply -> applier.add(apply.entry(), ProcessClock.monotonicMillis());
            case Effect.Restore restore -> applier.restore(restore.snapshot(), completions);
            case Effect.Confirmed confirmed ->
                    applier.recordConfirmed(
                            confirmed.confirmation(), confirmed.index(), completions);
            case Effect.LeaderChanged changed ->
                    LOGGER.info(
                            "event=leader_changed term={} leader={}",
                            changed.term(),
                            changed.leader().orElse("none"));
        }
    }

    private void compactIfDue() {
        long appliedIndex = state.appliedIndex();
        if (!storage.isSnapshotDue(appliedIndex, state.replayCharacters())) {
            return;
        }
        List<Effect> effects;
        synchronized (this) {
            effects = replica.compact(appliedIndex, state.encode());
        }
        saver.save(effects);
    }
}
