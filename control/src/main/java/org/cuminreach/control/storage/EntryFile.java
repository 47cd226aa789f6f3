package org.cuminreach.control.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cuminreach.decisions.agreement.LogEntry;
import org.cuminreach.wire.MalformedFrameException;

/**
 * An append-only file of log entries. A record whose first index already exists replaces the
 * entries from that index on. Each record is synced before the next one is written, so damage that
 * is followed by a valid record is corruption, and damage at the end of the file is a torn write.
 */
final class EntryFile {
    private final FolderAccess folder;
    private final String name;
    private long sizeBytes;
    private boolean mayHaveTornEnd;

    private EntryFile(FolderAccess folder, String name) {
        this.folder = folder;
        this.name = name;
    }

    /** Creates and syncs a file with the given entries; does not sync the folder. */
    static EntryFile create(FolderAccess folder, String name, List<LogEntry> entries)
            throws IOException {
        EntryFile file = new EntryFile(folder, name);
        byte[] content = entries.isEmpty() ? new byte[0] : EntryRecord.encode(entries);
        folder.write(name, content);
        folder.sync(name);
        file.sizeBytes = content.length;
        return file;
    }

    /** Opens a file, adds its entries to a list and truncates a torn write at its end. */
    static EntryFile open(FolderAccess folder, String name, byte[] bytes, List<LogEntry> entries)
            throws IOException {
        EntryFile file = new EntryFile(folder, name);
        ByteBuffer content = ByteBuffer.wrap(bytes);
        int offset = 0;
        Optional<Integer> length = EntryRecord.validLength(content, offset);
        while (length.isPresent()) {
            replaceSuffix(file.decode(content, offset), entries);
            offset += length.get();
            length = EntryRecord.validLength(content, offset);
        }
        file.truncateTornEnd(content, offset);
        file.sizeBytes = offset;
        return file;
    }

    long sizeBytes() {
        return sizeBytes;
    }

    /** Appends and syncs entries, which replace those from the first one's index on. */
    void append(List<LogEntry> entries) throws IOException {
        byte[] record = EntryRecord.encode(entries);
        if (mayHaveTornEnd) {
            folder.truncate(name, sizeBytes);
        }
        mayHaveTornEnd = true;
        folder.append(name, record);
        folder.sync(name);
        mayHaveTornEnd = false;
        sizeBytes += record.length;
    }

    /** Adds entries to a list, replacing those from the first one's index on. */
    static void replaceSuffix(List<LogEntry> added, List<LogEntry> entries) {
        long first = added.getFirst().index();
        while (!entries.isEmpty() && entries.getLast().index() >= first) {
            entries.removeLast();
        }
        entries.addAll(added);
    }

    private void truncateTornEnd(ByteBuffer content, int end) throws IOException {
        if (end == content.limit()) {
            return;
        }
        for (int offset = end + 1; offset < content.limit(); offset++) {
            if (EntryRecord.validLength(content, offset).isPresent()) {
                throw CorruptDataException.of(
                        name, "is damaged at byte " + end + ", before valid entries");
            }
        }
        folder.truncate(name, end);
        folder.sync(name);
    }

    private List<LogEntry> decode(ByteBuffer content, int offset) throws IOException {
        try {
            return new ArrayList<>(EntryRecord.decode(content, offset));
        } catch (MalformedFrameException malformed) {
            throw CorruptDataException.of(
                    name,
                    "has a malformed entry at byte " + offset + ": " + malformed.getMessage());
        }
    }
}
