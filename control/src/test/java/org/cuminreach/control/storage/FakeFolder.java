package org.cuminreach.control.storage;

import java.io.IOException;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/** An in-memory folder that loses a random part of the unsynced changes in a crash. */
public final class FakeFolder implements FolderAccess {
    /** Thrown instead of executing the operation at which the simulated crash occurs. */
    public static final class CrashException extends IOException {
        private static final long serialVersionUID = 1;
    }

    /** The content of a file as written and as last synced. */
    private static final class Content {
        private byte[] written = new byte[0];
        private byte[] synced = new byte[0];
    }

    private final Random random;
    private Map<String, Content> names = new HashMap<>();
    private Map<String, Content> syncedNames = new HashMap<>();
    private volatile int operationsUntilCrash = Integer.MAX_VALUE;
    private volatile boolean syncFails;
    private volatile boolean writesFail;
    private volatile long usableBytes = Long.MAX_VALUE;

    public FakeFolder(long seed) {
        random = new Random(seed);
    }

    /** Schedules a crash after a number of further operations; 0 fails the next one. */
    public void crashAfter(int operations) {
        operationsUntilCrash = operations;
    }

    public void failSync() {
        syncFails = true;
    }

    /** Makes each write fail after half of its bytes, as on a full disk. */
    public void failWrites(boolean fail) {
        writesFail = fail;
    }

    public void setUsableBytes(long bytes) {
        usableBytes = bytes;
    }

    /** Replaces the content by what a new process finds after a crash. */
    public void restart() {
        operationsUntilCrash = Integer.MAX_VALUE;
        Map<String, Content> found = random.nextBoolean() ? names : syncedNames;
        names = new HashMap<>(found);
        syncedNames = new HashMap<>(found);
        names.values().forEach(this::loseUnsynced);
    }

    public byte[] bytes(String name) {
        return names.get(name).written;
    }

    public void damage(String name, int offset) {
        names.get(name).written[offset] ^= 0x5A;
    }

    public boolean exists(String name) {
        return names.containsKey(name);
    }

    @Override
    public Optional<byte[]> read(String name) {
        return Optional.ofNullable(names.get(name)).map(content -> content.written.clone());
    }

    @Override
    public void write(String name, byte[] bytes) throws IOException {
        countOperation();
        Content content = new Content();
        content.written = Arrays.copyOf(bytes, writesFail ? bytes.length / 2 : bytes.length);
        names.put(name, content);
        throwIfWritesFail(name);
    }

    @Override
    public void append(String name, byte[] bytes) throws IOException {
        countOperation();
        Content content = names.get(name);
        int length = writesFail ? bytes.length / 2 : bytes.length;
        byte[] extended = Arrays.copyOf(content.written, content.written.length + length);
        System.arraycopy(bytes, 0, extended, content.written.length, length);
        content.written = extended;
        throwIfWritesFail(name);
    }

    @Override
    public void truncate(String name, long length) throws IOException {
        countOperation();
        Content content = names.get(name);
        content.written = Arrays.copyOf(content.written, (int) length);
    }

    @Override
    public void sync(String name) throws IOException {
        countOperation();
        if (syncFails) {
            throw new IOException("the device reports an error");
        }
        Content content = names.get(name);
        content.synced = content.written;
    }

    @Override
    public void rename(String from, String to) throws IOException {
        countOperation();
        names.put(to, names.remove(from));
    }

    @Override
    public void delete(String name) throws IOException {
        countOperation();
        names.remove(name);
    }

    @Override
    public void syncFolder() throws IOException {
        countOperation();
        syncedNames = new HashMap<>(names);
    }

    @Override
    public long usableBytes() {
        return usableBytes;
    }

    @Override
    public void close() {
        operationsUntilCrash = Integer.MAX_VALUE;
    }

    private void throwIfWritesFail(String name) throws WriteFailedException {
        if (writesFail) {
            throw new WriteFailedException(name, new IOException("no space left"));
        }
    }

    private void countOperation() throws CrashException {
        if (operationsUntilCrash == 0) {
            throw new CrashException();
        }
        operationsUntilCrash--;
    }

    /** Keeps a random prefix of the unsynced bytes, sometimes zero-filled to the full length. */
    private void loseUnsynced(Content content) {
        int unsynced = content.written.length - content.synced.length;
        if (unsynced > 0) {
            int kept = random.nextInt(unsynced + 1);
            byte[] torn =
                    Arrays.copyOf(
                            Arrays.copyOf(content.written, content.synced.length + kept),
                            content.synced.length + (random.nextBoolean() ? kept : unsynced));
            content.written = torn;
        } else {
            content.written = content.synced;
        }
        content.synced = content.written;
    }
}
