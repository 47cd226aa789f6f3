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
    private volatile MeshConfiguration configuration;

    ReplicatedState(Optional<Snapshot> snapshot) {
        load(
                snapshot.map(Snapshot::state)
                        .orElseGet(() -> ConfigurationCodec.encode(MeshStateImage.empty())));
        appliedIndex = snapshot.map(Snapshot::lastIndex).orElse(0L);
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

    synchronized byte[] encode() {
        return ConfigurationCodec.encode(state.image());
    }

    /** Returns the remembered outcome of a submission; other commands have none. */
    synchronized Optional<SubmissionOutcome> previousOutcome(MeshCommand command) {
        return state.previousOutcome(command);
    }

    synchronized Optional<SubmissionOutcome> apply(LogEntry entry, Completions completions) {
        appliedIndex = entry.index();
        if (!(entry.payload() instanceof Payload.Command command)) {
            return Optional.empty();
        }
        long versionBefore = state.configuration().version();
        Optional<SubmissionOutcome> outcome = state.apply(entry.index(), decode(command));
        if (state.configuration().version() != versionBefore) {
            notifyListeners(completions);
        }
        return outcome;
    }

    synchronized void restore(Snapshot snapshot, Completions completions) {
        load(snapshot.state());
        appliedIndex = snapshot.lastIndex();
        notifyListeners(completions);
    }

    private void load(byte[] encoded) {
        try {
            state = MeshState.of(ConfigurationCodec.decodeState(encoded));
        } catch (MalformedFrameException malformed) {
            throw new IllegalStateException("the state in a snapshot is malformed", malformed);
        }
        configuration = state.configuration();
    }

    private void notifyListeners(Completions completions) {
        MeshConfiguration changed = state.configuration();
        configuration = changed;
        completions.add(
                () -> listeners.forEach(listener -> listener.onConfigurationChanged(changed)));
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
