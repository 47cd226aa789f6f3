package org.cuminreach.control.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cuminreach.decisions.agreement.DurableState;
import org.cuminreach.decisions.agreement.LogEntry;
import org.cuminreach.decisions.agreement.Snapshot;
import org.cuminreach.wire.MalformedFrameException;
import org.cuminreach.wire.RaftCodec;
import org.cuminreach.wire.StructCodec;
import org.cuminreach.wire.generated.SnapshotStruct;
import org.cuminreach.wire.generated.VoteRecord;

/**
 * The persistent data of a control: its identity, term and vote, snapshot and log entries. The
 * snapshot file names the generation of the entry file that belongs to it, so that replacing the
 * snapshot switches both atomically. After a failed save the folder must not be used any more. Not
 * thread-safe.
 */
public final class DataFolder implements AutoCloseable {
    /** Least disk space that submissions may not use. */
    public static final long MIN_RESERVE_BYTES = 4L * 1024 * 1024;

    private static final String ENTRIES_PREFIX = "entries-";

    private final FolderAccess folder;
    private final AtomicFile identityFile;
    private final AtomicFile voteFile;
    private final AtomicFile snapshotFile;
    private final List<LogEntry> entries = new ArrayList<>();
    private EntryFile entryFile;
    private long generation;
    private long snapshotBytes;

    private DataFolder(FolderAccess folder) {
        this.folder = folder;
        identityFile = new AtomicFile(folder, "identity");
        voteFile = new AtomicFile(folder, "vote");
        snapshotFile = new AtomicFile(folder, "snapshot");
    }

    /**
     * Opens a folder of the local file system and creates it if it does not exist.
     *
     * @param path the folder
     * @return the opened folder
     * @throws IOException when it cannot be used
     */
    public static DataFolder open(Path path) throws IOException {
        return open(LocalFolder.open(path));
    }

    /**
     * Opens a folder through the given file operations.
     *
     * @param folder the file operations
     * @return the opened folder
     */
    public static DataFolder open(FolderAccess folder) {
        return new DataFolder(folder);
    }

    /**
     * Reads the identity of the control.
     *
     * @return the identity, or empty in a new folder
     * @throws IOException when it cannot be read
     */
    public Optional<String> identity() throws IOException {
        return identityFile.read().map(bytes -> new String(bytes, StandardCharsets.UTF_8));
    }

    /**
     * Saves and syncs the identity of the control.
     *
     * @param identity the identity
     * @throws IOException when it could not be written or synced
     */
    public void saveIdentity(String identity) throws IOException {
        identityFile.replace(identity.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Loads the durable state of the replica and opens the entry file for appending.
     *
     * @return term, vote, snapshot and entries
     * @throws IOException when a file cannot be read or is damaged
     */
    public DurableState load() throws IOException {
        Optional<Snapshot> snapshot = loadSnapshot();
        openEntries();
        checkNoMissingEntries(snapshot.map(Snapshot::lastIndex).orElse(0L));
        VoteRecord vote = loadVote();
        return new DurableState(
                vote.getTerm(), Optional.ofNullable(vote.getVote()), snapshot, entries);
    }

    /**
     * Saves and syncs the term and vote.
     *
     * @param term the term
     * @param vote identity voted for
     * @throws IOException when they could not be written or synced
     */
    public void saveVote(long term, Optional<String> vote) throws IOException {
        VoteRecord record = new VoteRecord(term);
        vote.ifPresent(record::setVote);
        voteFile.replace(StructCodec.encode(record));
    }

    /**
     * Truncates the log before the first entry's index, appends the entries and syncs them.
     *
     * @param added the entries, at least one
     * @throws IOException when they could not be written or synced
     */
    public void saveEntries(List<LogEntry> added) throws IOException {
        EntryFile.replaceSuffix(added, entries);
        if (entryFile == null) {
            throw new IOException("the data folder must be loaded before entries are saved");
        }
        entryFile.append(added);
    }

    /**
     * Saves and syncs a snapshot and deletes the entries that it replaces.
     *
     * @param snapshot the snapshot
     * @param keepLaterEntries false to delete the entries after the snapshot as well
     * @throws IOException when it could not be written or synced
     */
    public void saveSnapshot(Snapshot snapshot, boolean keepLaterEntries) throws IOException {
        entries.removeIf(entry -> !keepLaterEntries || entry.index() <= snapshot.lastIndex());
        long replaced = generation;
        EntryFile next = EntryFile.create(folder, entriesName(replaced + 1), entries);
        byte[] state = StructCodec.encode(RaftCodec.toStruct(snapshot));
        ByteBuffer content = ByteBuffer.allocate(Long.BYTES + state.length);
        snapshotFile.replace(content.putLong(replaced + 1).put(state).array());
        snapshotBytes = state.length;
        generation = replaced + 1;
        entryFile = next;
        folder.delete(entriesName(replaced));
    }

    /**
     * Tells whether the disk has space for an append without using the reserve, which a compaction
     * needs to write the next snapshot and entry file before it deletes the present ones.
     *
     * @param bytes size of the append
     * @return false when the append must be refused
     * @throws IOException when the free space cannot be determined
     */
    public boolean hasSpaceFor(long bytes) throws IOException {
        return folder.usableBytes() >= reserveBytes() + bytes;
    }

    /** The entries make the next snapshot longer than the present one by their size at most. */
    private long reserveBytes() {
        return MIN_RESERVE_BYTES + snapshotBytes + 2 * entryFileBytes();
    }

    /**
     * Returns the size of the entry file in bytes.
     *
     * @return size, including entries that later ones replaced
     */
    public long entryFileBytes() {
        return entryFile == null ? 0 : entryFile.sizeBytes();
    }

    @Override
    public void close() throws IOException {
        folder.close();
    }

    private static String entriesName(long generation) {
        return ENTRIES_PREFIX + generation;
    }

    private Optional<Snapshot> loadSnapshot() throws IOException {
        Optional<byte[]> bytes = snapshotFile.read();
        if (bytes.isEmpty()) {
            return Optional.empty();
        }
        ByteBuffer content = ByteBuffer.wrap(bytes.get());
        generation = content.getLong();
        byte[] state = new byte[content.remaining()];
        content.get(state);
        snapshotBytes = state.length;
        try {
            return Optional.of(
                    RaftCodec.toSnapshot(StructCodec.decode(state, new SnapshotStruct())));
        } catch (MalformedFrameException malformed) {
            throw CorruptDataException.of("snapshot", "is damaged: " + malformed.getMessage());
        }
    }

    private void openEntries() throws IOException {
        entries.clear();
        String name = entriesName(generation);
        Optional<byte[]> content = folder.read(name);
        if (content.isPresent()) {
            entryFile = EntryFile.open(folder, name, content.get(), entries);
        } else if (generation == 0) {
            entryFile = EntryFile.create(folder, name, entries);
            folder.syncFolder();
        } else {
            throw CorruptDataException.of(name, "is missing");
        }
        if (generation > 0) {
            folder.delete(entriesName(generation - 1));
        }
    }

    private VoteRecord loadVote() throws IOException {
        Optional<byte[]> bytes = voteFile.read();
        if (bytes.isEmpty()) {
            return new VoteRecord(0);
        }
        try {
            return StructCodec.decode(bytes.get(), new VoteRecord());
        } catch (MalformedFrameException malformed) {
            throw CorruptDataException.of("vote", "is damaged: " + malformed.getMessage());
        }
    }

    private void checkNoMissingEntries(long snapshotIndex) throws CorruptDataException {
        long expected = snapshotIndex + 1;
        for (LogEntry entry : entries) {
            if (entry.index() != expected) {
                throw CorruptDataException.of(
                        entriesName(generation),
                        "lacks entry " + expected + " before entry " + entry.index());
            }
            expected++;
        }
    }
}
