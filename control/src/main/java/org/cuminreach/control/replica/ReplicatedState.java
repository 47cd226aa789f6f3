package org.cuminreach.control.replica;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.cuminreach.decisions.agreement.LogEntry;
import org.cuminreach.decisions.agreement.Payload;
import org.cuminreach.decisions.agreement.Snapshot;
import org.cuminreach.decisions.configuration.HistoryEntry;
import org.cuminreach.decisions.configuration.MeshCommand;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.decisions.configuration.MeshState;
import org.cuminreach.decisions.configuration.MeshStateImage;
import org.cuminreach.decisions.configuration.SubmissionOutcome;
import org.cuminreach.wire.ConfigurationCodec;
import org.cuminreach.wire.MalformedFrameException;
import org.cuminreach.wire.StructCodec;
import org.cuminreach.wire.generated.CommandStruct;

/** The state machine that committed entries are applied to, with its listeners. */
final class ReplicatedState {
    private final CopyOnWriteArrayList<ConfigurationListener> listeners =
            new CopyOnWriteArrayList<>();
    private MeshState state;
    private long appliedIndex;
    private long replayCharacters;
    private volatile MeshConfiguration configuration;

    ReplicatedState(Optional<Snapshot> snapshot) {
        load(
                snapshot.map(Snapshot::state)
                        .orElseGet(() -> ConfigurationCodec.encode(MeshStateImage.empty())));
        appliedIndex = snapshot.map(Snapshot::lastIndex).orElse(0L);
        configuration = state.configuration();
    }

    void addListener(ConfigurationListener listener) {
        listeners.add(listener);
    }

    MeshConfiguration configuration() {
        return configuration;
    }

    synchronized long appliedIndex() {
        return appliedIndex;
    }

    synchronized List<HistoryEntry> history() {
        return state.history();
    }

    /**
     * Returns the length of the documents that were applied since the state was last encoded or
     * restored. The time for a replay of these entries is roughly proportional to it.
     */
    synchronized long replayCharacters() {
        return replayCharacters;
    }

    /** Returns the encoded state, for a snapshot at the applied index. */
    synchronized byte[] encode() {
        replayCharacters = 0;
        return ConfigurationCodec.encode(state.image());
    }

    /** Returns the remembered outcome of a submission; other commands have none. */
    synchronized Optional<SubmissionOutcome> previousOutcome(MeshCommand command) {
        return state.previousOutcome(command);
    }

    synchronized Optional<SubmissionOutcome> apply(LogEntry entry) {
        appliedIndex = entry.index();
        if (!(entry.payload() instanceof Payload.Command command)) {
            return Optional.empty();
        }
        Optional<SubmissionOutcome> outcome = state.apply(entry.index(), decode(command));
        replayCharacters += state.configuration().documentText().length();
        return outcome;
    }

    synchronized void restore(Snapshot snapshot) {
        load(snapshot.state());
        appliedIndex = snapshot.lastIndex();
        replayCharacters = 0;
    }

    /** Publishes the latest configuration and notifies the listeners, if it changed. */
    synchronized void publish(Completions completions) {
        MeshConfiguration latest = state.configuration();
        if (latest.version() == configuration.version()) {
            return;
        }
        configuration = latest;
        completions.add(
                () -> listeners.forEach(listener -> listener.onConfigurationChanged(latest)));
    }

    private void load(byte[] encoded) {
        try {
            state = MeshState.of(ConfigurationCodec.decodeState(encoded));
        } catch (MalformedFrameException malformed) {
            throw new IllegalStateException("the state in a snapshot is malformed", malformed);
        }
    }

    private static MeshCommand decode(Payload.Command command) {
        try {
            return ConfigurationCodec.toCommand(
                    StructCodec.decode(command.bytes(), new CommandStruct()));
        } catch (MalformedFrameException malformed) {
            throw new IllegalStateException("a committed command is malformed", malformed);
        }
    }
}
