package org.cuminreach.control.storage;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;
import org.cuminreach.decisions.agreement.LogEntry;
import org.cuminreach.wire.MalformedFrameException;
import org.cuminreach.wire.RaftCodec;
import org.cuminreach.wire.StructCodec;
import org.cuminreach.wire.generated.EntryStruct;

/**
 * Encoding of the entries of one append as one record: a magic number, the length of the body, a
 * checksum over length and body, and the body. The body holds each entry's length and bytes.
 */
final class EntryRecord {
    static final int MAGIC = 0x43554D31;
    private static final int HEADER_BYTES = 12;
    private static final int LENGTH_OFFSET = 4;
    private static final int CHECKSUM_OFFSET = 8;

    private EntryRecord() {}

    static byte[] encode(List<LogEntry> entries) {
        List<byte[]> encoded =
                entries.stream()
                        .map(entry -> StructCodec.encode(RaftCodec.toStruct(entry)))
                        .toList();
        int length = encoded.stream().mapToInt(bytes -> Integer.BYTES + bytes.length).sum();
        ByteBuffer record = ByteBuffer.allocate(HEADER_BYTES + length);
        record.putInt(MAGIC).putInt(length).putInt(0);
        encoded.forEach(bytes -> record.putInt(bytes.length).put(bytes));
        record.putInt(CHECKSUM_OFFSET, checksum(record, 0, length));
        return record.array();
    }

    /** Returns the length of the record at an offset, or empty when no valid record is there. */
    static Optional<Integer> validLength(ByteBuffer content, int offset) {
        int remaining = content.limit() - offset;
        if (remaining < HEADER_BYTES || content.getInt(offset) != MAGIC) {
            return Optional.empty();
        }
        int length = content.getInt(offset + LENGTH_OFFSET);
        if (length <= 0 || length > remaining - HEADER_BYTES) {
            return Optional.empty();
        }
        boolean valid =
                checksum(content, offset, length) == content.getInt(offset + CHECKSUM_OFFSET);
        return valid ? Optional.of(HEADER_BYTES + length) : Optional.empty();
    }

    /** Decodes a valid record. */
    static List<LogEntry> decode(ByteBuffer content, int offset) throws MalformedFrameException {
        int end = offset + HEADER_BYTES + content.getInt(offset + LENGTH_OFFSET);
        ByteBuffer body = content.duplicate().limit(end).position(offset + HEADER_BYTES);
        List<LogEntry> entries = new ArrayList<>();
        while (body.hasRemaining()) {
            byte[] bytes = new byte[body.getInt()];
            body.get(bytes);
            entries.add(RaftCodec.toEntry(StructCodec.decode(bytes, new EntryStruct())));
        }
        return entries;
    }

    private static int checksum(ByteBuffer content, int offset, int length) {
        CRC32C checksum = new CRC32C();
        int lengthStart = offset + LENGTH_OFFSET;
        checksum.update(content.duplicate().limit(offset + CHECKSUM_OFFSET).position(lengthStart));
        int bodyStart = offset + HEADER_BYTES;
        checksum.update(content.duplicate().limit(bodyStart + length).position(bodyStart));
        return (int) checksum.getValue();
    }
}
