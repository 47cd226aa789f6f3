package org.cuminreach.control.replica;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cuminreach.control.storage.DataFolder;
import org.cuminreach.decisions.agreement.Effect;
import org.cuminreach.decisions.agreement.LogEntry;

/**
 * Saves the effects of a batch that concern the disk, with one sync for all its entries. The other
 * effects of the batch must be executed only afterwards.
 */
final class ReplicaStorage {
    private static final long MAX_ENTRY_FILE_BYTES = 64L * 1024 * 1024;

    /**
     * Length of the documents to read again after a restart, above which a snapshot is due. No
     * control has the current configuration until one of them has read them.
     */
    private static final long MAX_REPLAY_CHARACTERS = 1024L * 1024;

    private final DataFolder folder;
    private final List<LogEntry> unsaved = new ArrayList<>();
    private final int entriesBetweenSnapshots;
    private long snapshotIndex;

    ReplicaStorage(DataFolder folder, int entriesBetweenSnapshots, long snapshotIndex) {
        this.folder = folder;
        this.entriesBetweenSnapshots = entriesBetweenSnapshots;
        this.snapshotIndex = snapshotIndex;
    }

    void save(List<Effect> effects) throws IOException {
        Optional<Effect.SaveVote> lastVote = Optional.empty();
        for (Effect effect : effects) {
            if (effect instanceof Effect.SaveVote vote) {
                lastVote = Optional.of(vote);
            }
        }
        if (lastVote.isPresent()) {
            folder.saveVote(lastVote.get().term(), lastVote.get().vote());
        }
        for (Effect effect : effects) {
            if (effect instanceof Effect.SaveEntries entries) {
                addUnsaved(entries.entries());
            } else if (effect instanceof Effect.SaveSnapshot snapshot) {
                flush();
                folder.saveSnapshot(snapshot.snapshot(), snapshot.keepLaterEntries());
                snapshotIndex = snapshot.snapshot().lastIndex();
            }
        }
        flush();
    }

    /** Tells whether enough entries were applied since the last snapshot to take the next one. */
    boolean isSnapshotDue(long appliedIndex, long replayCharacters) {
        boolean large =
                folder.entryFileBytes() >= MAX_ENTRY_FILE_BYTES
                        || replayCharacters >= MAX_REPLAY_CHARACTERS;
        long entries = appliedIndex - snapshotIndex;
        return entries >= entriesBetweenSnapshots || large && entries > 0;
    }

    boolean hasSpaceFor(long bytes) throws IOException {
        return folder.hasSpaceFor(bytes);
    }

    private void addUnsaved(List<LogEntry> entries) {
        long first = entries.getFirst().index();
        while (!unsaved.isEmpty() && unsaved.getLast().index() >= first) {
            unsaved.removeLast();
        }
        unsaved.addAll(entries);
    }

    private void flush() throws IOException {
        if (!unsaved.isEmpty()) {
            folder.saveEntries(List.copyOf(unsaved));
            unsaved.clear();
        }
    }
}
