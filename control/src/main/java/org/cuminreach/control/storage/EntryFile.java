package org.cuminreach.control.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import org.cuminreach.decisions.agreement.LogEntry;
import org.cuminreach.wire.AgreementCodec;
import org.cuminreach.wire.MalformedFrameException;
import org.cuminreach.wire.StructCodec;
import org.cuminreach.wire.generated.EntryStruct;

/**
 * The file of log entries: records of 4 length bytes, 4 checksum bytes and an encoded entry. A
 * record cut short at the end was never synced and is cut off; any other damage is refused.
 */
final class EntryFile implements AutoCloseable {
    private static final int HEADER_BYTES = 8;

    private final Path path;
    private final FileChannel channel;
    private final List<Long> offsets = new ArrayList<>();
    private long firstIndex;

    private EntryFile(Path path, FileChannel channel) {
        this.path = path;
        this.channel = channel;
    }

    static EntryFile open(Path path) throws IOException {
        FileChannel channel =
                FileChannel.open(
                        path,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE);
        return new EntryFile(path, channel);
    }

    /** Reads every entry and cuts off a torn end. */
    List<LogEntry> load() throws IOException {
        List<LogEntry> entries = new ArrayList<>();
        ByteBuffer content = ByteBuffer.allocate((int) channel.size());
        while (content.hasRemaining() && channel.read(content) >= 0) {
            continue;
        }
        content.flip();
        offsets.clear();
        while (isWhole(content)) {
            long offset = content.position();
            entries.add(readRecord(content));
            offsets.add(offset);
        }
        if (content.hasRemaining()) {
            channel.truncate(content.position());
            channel.force(true);
        }
        firstIndex = entries.isEmpty() ? 0 : entries.getFirst().index();
        return entries;
    }

    /** Cuts the file before the first entry's index, appends the entries and syncs. */
    void append(List<LogEntry> entries) throws IOException {
        long first = entries.getFirst().index();
        if (offsets.isEmpty()) {
            firstIndex = first;
        }
        int kept = (int) (first - firstIndex);
        if (kept < offsets.size()) {
            channel.truncate(offsets.get(kept));
            offsets.subList(kept, offsets.size()).clear();
        }
        for (LogEntry entry : entries) {
            offsets.add(channel.size());
            write(entry);
        }
        channel.force(false);
    }

    /** Replaces the whole content. */
    void rewrite(List<LogEntry> entries) throws IOException {
        channel.truncate(0);
        offsets.clear();
        if (entries.isEmpty()) {
            channel.force(true);
        } else {
            append(entries);
        }
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }

    private void write(LogEntry entry) throws IOException {
        byte[] bytes = StructCodec.encode(AgreementCodec.toStruct(entry));
        ByteBuffer record = ByteBuffer.allocate(HEADER_BYTES + bytes.length);
        record.putInt(bytes.length).putInt(checksum(bytes)).put(bytes).flip();
        long position = channel.size();
        while (record.hasRemaining()) {
            position += channel.write(record, position);
        }
    }

    private static boolean isWhole(ByteBuffer content) {
        if (content.remaining() < HEADER_BYTES) {
            return false;
        }
        int length = content.getInt(content.position());
        return length >= 0 && length <= content.remaining() - HEADER_BYTES;
    }

    private LogEntry readRecord(ByteBuffer content) throws IOException {
        int offset = content.position();
        byte[] bytes = new byte[content.getInt()];
        int expected = content.getInt();
        content.get(bytes);
        if (checksum(bytes) != expected) {
            throw new CorruptDataException(
                    path
                            + " is damaged at byte "
                            + offset
                            + "; replace this control's data folder");
        }
        try {
            return AgreementCodec.toEntry(StructCodec.decode(bytes, new EntryStruct()));
        } catch (MalformedFrameException malformed) {
            throw new CorruptDataException(
                    path + " holds no entry at byte " + offset + ": " + malformed.getMessage());
        }
    }

    private static int checksum(byte[] bytes) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, 0, bytes.length);
        return (int) checksum.getValue();
    }
}
