package org.cuminreach.control.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * A small file with a checksum that is replaced atomically: after a crash it holds either the old
 * or the new bytes.
 */
final class AtomicFile {
    private static final int CHECKSUM_BYTES = 8;

    private final FolderAccess folder;
    private final String name;

    AtomicFile(FolderAccess folder, String name) {
        this.folder = folder;
        this.name = name;
    }

    void replace(byte[] bytes) throws IOException {
        String temporary = name + ".new";
        ByteBuffer buffer = ByteBuffer.allocate(CHECKSUM_BYTES + bytes.length);
        buffer.putLong(checksum(bytes)).put(bytes);
        folder.write(temporary, buffer.array());
        folder.sync(temporary);
        folder.rename(temporary, name);
        folder.syncFolder();
    }

    Optional<byte[]> read() throws IOException {
        Optional<byte[]> content = folder.read(name);
        if (content.isEmpty()) {
            return Optional.empty();
        }
        ByteBuffer buffer = ByteBuffer.wrap(content.get());
        if (buffer.remaining() < CHECKSUM_BYTES) {
            throw CorruptDataException.of(name, "is too short for its checksum");
        }
        long expected = buffer.getLong();
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        if (checksum(bytes) != expected) {
            throw CorruptDataException.of(name, "does not match its checksum");
        }
        return Optional.of(bytes);
    }

    private static long checksum(byte[] bytes) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, 0, bytes.length);
        return checksum.getValue();
    }
}
