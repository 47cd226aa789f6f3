package org.cuminreach.control.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** A folder of the local file system, with one open channel per file that was written. */
final class LocalFolder implements FolderAccess {
    private final Path folder;
    private final Map<String, FileChannel> channels = new HashMap<>();

    private LocalFolder(Path folder) {
        this.folder = folder;
    }

    static LocalFolder open(Path folder) throws IOException {
        Files.createDirectories(folder);
        return new LocalFolder(folder);
    }

    @Override
    public Optional<byte[]> read(String name) throws IOException {
        Path file = folder.resolve(name);
        return Files.exists(file) ? Optional.of(Files.readAllBytes(file)) : Optional.empty();
    }

    @Override
    public void write(String name, byte[] bytes) throws IOException {
        FileChannel channel = channel(name);
        channel.truncate(0);
        writeAt(name, channel, 0, bytes);
    }

    @Override
    public void append(String name, byte[] bytes) throws IOException {
        FileChannel channel = channel(name);
        writeAt(name, channel, channel.size(), bytes);
    }

    @Override
    public void truncate(String name, long length) throws IOException {
        channel(name).truncate(length);
    }

    @Override
    public void sync(String name) throws IOException {
        channel(name).force(true);
    }

    @Override
    public void rename(String from, String to) throws IOException {
        closeChannel(from);
        closeChannel(to);
        Files.move(folder.resolve(from), folder.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void delete(String name) throws IOException {
        closeChannel(name);
        Files.deleteIfExists(folder.resolve(name));
    }

    @Override
    public void syncFolder() throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    @Override
    public long usableBytes() throws IOException {
        return Files.getFileStore(folder).getUsableSpace();
    }

    @Override
    public void close() throws IOException {
        for (FileChannel channel : channels.values()) {
            channel.close();
        }
        channels.clear();
    }

    private FileChannel channel(String name) throws IOException {
        FileChannel open = channels.get(name);
        if (open != null) {
            return open;
        }
        FileChannel opened =
                FileChannel.open(
                        folder.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        channels.put(name, opened);
        return opened;
    }

    private void closeChannel(String name) throws IOException {
        FileChannel open = channels.remove(name);
        if (open != null) {
            open.close();
        }
    }

    private static void writeAt(String name, FileChannel channel, long start, byte[] bytes)
            throws WriteFailedException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        long position = start;
        try {
            while (buffer.hasRemaining()) {
                position += channel.write(buffer, position);
            }
        } catch (IOException failure) {
            throw new WriteFailedException(name, failure);
        }
    }
}
