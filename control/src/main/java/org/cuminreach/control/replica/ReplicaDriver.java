package org.cuminreach.control.replica;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.random.RandomGenerator;
import org.cuminreach.control.storage.DataFolder;
import org.cuminreach.decisions.agreement.AgreementSettings;
import org.cuminreach.decisions.agreement.Effect;
import org.cuminreach.decisions.agreement.LogEntry;
import org.cuminreach.decisions.agreement.Membership;
import org.cuminreach.decisions.agreement.Message;
import org.cuminreach.decisions.agreement.Payload;
import org.cuminreach.decisions.agreement.ProposalOutcome;
import org.cuminreach.decisions.agreement.Replica;
import org.cuminreach.decisions.configuration.HistoryEntry;
import org.cuminreach.decisions.configuration.MeshCommand;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.decisions.configuration.MeshState;
import org.cuminreach.decisions.configuration.MeshStateImage;
import org.cuminreach.decisions.configuration.SubmissionOutcome;
import org.cuminreach.wire.AgreementCodec;
import org.cuminreach.wire.ConfigurationCodec;
import org.cuminreach.wire.MalformedFrameException;
import org.cuminreach.wire.StructCodec;
import org.cuminreach.wire.generated.CommandStruct;
import org.cuminreach.wire.generated.Frame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries out what the {@link Replica} decides: syncs, sends, applies. One lock guards all of it.
 * Futures are completed outside that lock.
 */
public final class ReplicaDriver {
    private static final Logger LOGGER = LoggerFactory.getLogger(ReplicaDriver.class);
    private static final int ENTRIES_BETWEEN_SNAPSHOTS = 1_000;

    private final String self;
    private final DataFolder folder;
    private final PeerNetwork network;
    private final Replica replica;
    private final PendingProposals proposals = new PendingProposals();
    private final PendingConfirmations confirmations = new PendingConfirmations();
    private final CopyOnWriteArrayList<MeshListener> listeners = new CopyOnWriteArrayList<>();
    private MeshState state;
    private long appliedIndex;
    private long snapshotIndex;
    private volatile MeshConfiguration configuration;

    private ReplicaDriver(
            String self,
            DataFolder folder,
            PeerNetwork network,
            RandomGenerator random,
            long nowMillis)
            throws IOException {
        this.self = self;
        this.folder = folder;
        this.network = network;
        var durable = folder.load();
        this.replica =
                Replica.start(self, AgreementSettings.standard(), random, durable, nowMillis);
        restore(
                durable.snapshot()
                        .map(snapshot -> snapshot.state())
                        .orElseGet(() -> ConfigurationCodec.encode(MeshStateImage.empty())));
        snapshotIndex = durable.snapshot().map(snapshot -> snapshot.lastIndex()).orElse(0L);
        appliedIndex = snapshotIndex;
    }

    /**
     * Starts a replica from its data folder.
     *
     * @param self its identity
     * @param folder its data folder
     * @param network carries its messages
     * @param random source of its election jitter
     * @param nowMillis present time, in milliseconds of a clock that never goes back
     * @return the driver
     * @throws IOException when the folder cannot be read or is damaged
     */
    public static ReplicaDriver start(
            String self,
            DataFolder folder,
            PeerNetwork network,
            RandomGenerator random,
            long nowMillis)
            throws IOException {
        ReplicaDriver driver = new ReplicaDriver(self, folder, network, random, nowMillis);
        network.follow(driver.membership());
        return driver;
    }

    /**
     * Adds a listener.
     *
     * @param listener hears of changes from now on
     */
    public void listen(MeshListener listener) {
        listeners.add(listener);
    }

    /**
     * Lets time pass.
     *
     * @param nowMillis present time
     */
    public void tick(long nowMillis) {
        perform(() -> replica.tick(nowMillis));
    }

    /**
     * Takes a message of another replica.
     *
     * @param from identity of the sender
     * @param message the message
     * @param nowMillis present time
     */
    public void receive(String from, Message message, long nowMillis) {
        perform(() -> replica.receive(nowMillis, from, message));
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
        Completions completions = new Completions();
        synchronized (this) {
            Optional<SubmissionOutcome> known = rememberedAnswer(command);
            if (known.isPresent() && replica.isLeader()) {
                result.complete(new SubmitResult.Decided(known.get()));
                return result;
            }
            byte[] bytes = StructCodec.encode(ConfigurationCodec.toStruct(command));
            switch (replica.propose(nowMillis, bytes)) {
                case ProposalOutcome.Appended appended -> {
                    proposals.add(appended.index(), appended.term(), command, result);
                    carryOut(appended.effects(), completions);
                }
                case ProposalOutcome.NotLeader notLeader ->
                        result.complete(new SubmitResult.NotRun("this control does not lead"));
                case ProposalOutcome.Refused refused ->
                        result.complete(new SubmitResult.NotRun(refused.reason()));
            }
        }
        completions.run();
        return result;
    }

    /**
     * Changes the membership of the controls.
     *
     * @param next the whole new membership
     * @param nowMillis present time
     * @return empty when the change was begun, or the reason why not
     */
    public Optional<String> changeMembership(Membership next, long nowMillis) {
        Completions completions = new Completions();
        Optional<String> refusal;
        synchronized (this) {
            refusal =
                    switch (replica.changeMembership(nowMillis, next)) {
                        case ProposalOutcome.Appended appended -> {
                            carryOut(appended.effects(), completions);
                            yield Optional.empty();
                        }
                        case ProposalOutcome.NotLeader notLeader ->
                                Optional.of("this control does not lead");
                        case ProposalOutcome.Refused refused -> Optional.of(refused.reason());
                    };
        }
        completions.run();
        return refusal;
    }

    /**
     * Waits until a quorum has confirmed, since this call, that the state here is current.
     *
     * @param nowMillis present time
     * @return completes with the confirmed index once it is applied; the caller bounds the wait
     */
    public CompletableFuture<Long> confirm(long nowMillis) {
        CompletableFuture<Long> result = new CompletableFuture<>();
        perform(
                () -> {
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
     * Returns the history.
     *
     * @return the latest entries, oldest first
     */
    public synchronized List<HistoryEntry> history() {
        return state.history();
    }

    /**
     * Returns the agreed configuration as far as it is known here.
     *
     * @return the configuration
     */
    public MeshConfiguration configuration() {
        return configuration;
    }

    /**
     * Returns this replica's identity.
     *
     * @return the identity
     */
    public String self() {
        return self;
    }

    private interface Step {
        List<Effect> take();
    }

    private void perform(Step step) {
        Completions completions = new Completions();
        synchronized (this) {
            carryOut(step.take(), completions);
        }
        completions.run();
    }

    private synchronized void forget(long confirmation) {
        confirmations.forget(confirmation);
    }

    private Optional<SubmissionOutcome> rememberedAnswer(MeshCommand command) {
        return command instanceof MeshCommand.SubmitDocument submission
                ? state.answer(submission.key())
                : Optional.empty();
    }

    private void carryOut(List<Effect> effects, Completions completions) {
        try {
            for (Effect effect : effects) {
                carryOut(effect, completions);
            }
            compactIfDue();
        } catch (IOException unsynced) {
            throw new UncheckedIOException("the data folder could not be synced", unsynced);
        }
    }

    private void carryOut(Effect effect, Completions completions) throws IOException {
        switch (effect) {
            case Effect.SaveVote save -> folder.saveVote(save.term(), save.vote());
            case Effect.SaveEntries save -> {
                folder.saveEntries(save.entries());
                network.follow(replica.membership());
            }
            case Effect.SaveSnapshot save -> {
                folder.saveSnapshot(save.snapshot(), save.keepLaterEntries());
                snapshotIndex = save.snapshot().lastIndex();
            }
            case Effect.Send send ->
                    network.send(
                            send.to(), Frame.agreement(AgreementCodec.toStruct(send.message())));
            case Effect.Apply apply -> apply(apply.entry(), completions);
            case Effect.Restore restore -> {
                restore(restore.snapshot().state());
                appliedIndex = restore.snapshot().lastIndex();
                network.follow(replica.membership());
                announce(completions);
                proposals.skipped(appliedIndex, state, completions);
                confirmations.applied(appliedIndex, completions);
            }
            case Effect.Confirmed confirmed -> {
                confirmations.confirmed(confirmed.confirmation(), confirmed.index());
                confirmations.applied(appliedIndex, completions);
            }
            case Effect.LeaderChanged changed ->
                    LOGGER.info(
                            "event=leader_changed term={} leader={}",
                            changed.term(),
                            changed.leader().orElse("none"));
        }
    }

    private void apply(LogEntry entry, Completions completions) {
        appliedIndex = entry.index();
        Optional<SubmissionOutcome> outcome = Optional.empty();
        if (entry.payload() instanceof Payload.Command command) {
            long versionBefore = state.configuration().version();
            outcome = state.apply(entry.index(), decode(command));
            if (state.configuration().version() != versionBefore) {
                announce(completions);
            }
        }
        proposals.applied(entry, outcome, completions);
        confirmations.applied(appliedIndex, completions);
    }

    private void announce(Completions completions) {
        MeshConfiguration changed = state.configuration();
        configuration = changed;
        completions.add(() -> listeners.forEach(listener -> listener.changed(changed)));
    }

    private void restore(byte[] encoded) {
        try {
            state = MeshState.of(ConfigurationCodec.decodeState(encoded));
        } catch (MalformedFrameException damaged) {
            throw new IllegalStateException("a snapshot of ours does not decode", damaged);
        }
        configuration = state.configuration();
    }

    private static MeshCommand decode(Payload.Command command) {
        try {
            return ConfigurationCodec.toCommand(
                    StructCodec.decode(command.bytes(), new CommandStruct()));
        } catch (MalformedFrameException damaged) {
            throw new IllegalStateException("an agreed command does not decode", damaged);
        }
    }

    private void compactIfDue() throws IOException {
        if (appliedIndex - snapshotIndex < ENTRIES_BETWEEN_SNAPSHOTS) {
            return;
        }
        byte[] image = ConfigurationCodec.encode(state.image());
        for (Effect effect : replica.compact(appliedIndex, image)) {
            carryOut(effect, new Completions());
        }
    }
}
