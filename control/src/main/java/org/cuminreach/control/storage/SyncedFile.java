package org.cuminreach.control.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Optional;
import java.util.zip.CRC32C;

/** A small file that is replaced whole: it holds either the old or the new bytes, synced. */
final class SyncedFile {
    private static final int CHECKSUM_BYTES = 8;

    private final Path path;

    SyncedFile(Path path) {
        this.path = path;
    }

    void replace(byte[] bytes) throws IOException {
        Path temporary = path.resolveSibling(path.getFileName() + ".new");
        ByteBuffer buffer = ByteBuffer.allocate(CHECKSUM_BYTES + bytes.length);
        buffer.putLong(checksum(bytes)).put(bytes).flip();
        try (FileChannel channel =
                FileChannel.open(
                        temporary,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE)) {
            while (buffer.hasRemaining()) {
                channel.write(buffer);
            }
            channel.force(true);
        }
        Files.move(temporary, path, StandardCopyOption.ATOMIC_MOVE);
        syncFolder(path.getParent());
    }

    Optional<byte[]> read() throws IOException {
        if (!Files.exists(path)) {
            return Optional.empty();
        }
        ByteBuffer buffer = ByteBuffer.wrap(Files.readAllBytes(path));
        if (buffer.remaining() < CHECKSUM_BYTES) {
            throw new CorruptDataException(path + " is cut short");
        }
        long expected = buffer.getLong();
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        if (checksum(bytes) != expected) {
            throw new CorruptDataException(path + " does not match its checksum");
        }
        return Optional.of(bytes);
    }

    static void syncFolder(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    private static long checksum(byte[] bytes) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, 0, bytes.length);
        return checksum.getValue();
    }
}
