package org.cuminreach.control.storage;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cuminreach.decisions.agreement.DurableState;
import org.cuminreach.decisions.agreement.LogEntry;
import org.cuminreach.decisions.agreement.Snapshot;
import org.cuminreach.wire.AgreementCodec;
import org.cuminreach.wire.MalformedFrameException;
import org.cuminreach.wire.StructCodec;
import org.cuminreach.wire.generated.SnapshotStruct;
import org.cuminreach.wire.generated.VoteRecord;

/**
 * Everything a control keeps: its identity, term and vote, snapshot and log entries. Each method
 * that saves returns once the bytes are synced. Not safe for use by several threads at once.
 */
public final class DataFolder implements AutoCloseable {
    private final SyncedFile identityFile;
    private final SyncedFile voteFile;
    private final SyncedFile snapshotFile;
    private final EntryFile entryFile;
    private List<LogEntry> entries = new ArrayList<>();

    private DataFolder(Path folder) throws IOException {
        identityFile = new SyncedFile(folder.resolve("identity"));
        voteFile = new SyncedFile(folder.resolve("vote"));
        snapshotFile = new SyncedFile(folder.resolve("snapshot"));
        entryFile = EntryFile.open(folder.resolve("entries"));
    }

    /**
     * Opens a folder, which is made when missing.
     *
     * @param folder the folder
     * @return the opened folder
     * @throws IOException when it cannot be used
     */
    public static DataFolder open(Path folder) throws IOException {
        Files.createDirectories(folder);
        return new DataFolder(folder);
    }

    /**
     * Reads the identity.
     *
     * @return the identity, or empty in a new folder
     * @throws IOException when it cannot be read
     */
    public Optional<String> identity() throws IOException {
        return identityFile.read().map(bytes -> new String(bytes, StandardCharsets.UTF_8));
    }

    /**
     * Saves the identity.
     *
     * @param identity the identity
     * @throws IOException when it could not be synced
     */
    public void saveIdentity(String identity) throws IOException {
        identityFile.replace(identity.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Reads what the replica knew.
     *
     * @return its state
     * @throws IOException when a file cannot be read or is damaged
     */
    public DurableState load() throws IOException {
        Optional<Snapshot> snapshot = loadSnapshot();
        long snapshotIndex = snapshot.map(Snapshot::lastIndex).orElse(0L);
        entries = new ArrayList<>(entryFile.load());
        entries.removeIf(entry -> entry.index() <= snapshotIndex);
        refuseGap(snapshotIndex);
        VoteRecord vote = loadVote();
        return new DurableState(
                vote.getTerm(), Optional.ofNullable(vote.getVote()), snapshot, entries);
    }

    /**
     * Saves the term and vote.
     *
     * @param term the term
     * @param vote identity voted for
     * @throws IOException when it could not be synced
     */
    public void saveVote(long term, Optional<String> vote) throws IOException {
        VoteRecord record = new VoteRecord(term);
        vote.ifPresent(record::setVote);
        voteFile.replace(StructCodec.encode(record));
    }

    /**
     * Cuts the log before the first entry's index and appends the entries.
     *
     * @param added the entries, at least one
     * @throws IOException when they could not be synced
     */
    public void saveEntries(List<LogEntry> added) throws IOException {
        long first = added.getFirst().index();
        entries.removeIf(entry -> entry.index() >= first);
        entries.addAll(added);
        entryFile.append(added);
    }

    /**
     * Saves a snapshot and drops the entries it replaces.
     *
     * @param snapshot the snapshot
     * @param keepLaterEntries false when every entry is to go
     * @throws IOException when it could not be synced
     */
    public void saveSnapshot(Snapshot snapshot, boolean keepLaterEntries) throws IOException {
        snapshotFile.replace(StructCodec.encode(AgreementCodec.toStruct(snapshot)));
        entries.removeIf(entry -> !keepLaterEntries || entry.index() <= snapshot.lastIndex());
        entryFile.rewrite(entries);
    }

    @Override
    public void close() throws IOException {
        entryFile.close();
    }

    private Optional<Snapshot> loadSnapshot() throws IOException {
        Optional<byte[]> bytes = snapshotFile.read();
        if (bytes.isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    AgreementCodec.toSnapshot(
                            StructCodec.decode(bytes.get(), new SnapshotStruct())));
        } catch (MalformedFrameException malformed) {
            throw new CorruptDataException("the snapshot is damaged: " + malformed.getMessage());
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
            throw new CorruptDataException("the vote is damaged: " + malformed.getMessage());
        }
    }

    private void refuseGap(long snapshotIndex) throws CorruptDataException {
        long expected = snapshotIndex + 1;
        for (LogEntry entry : entries) {
            if (entry.index() != expected) {
                throw new CorruptDataException(
                        "entry " + expected + " is missing before entry " + entry.index());
            }
            expected++;
        }
    }
}
