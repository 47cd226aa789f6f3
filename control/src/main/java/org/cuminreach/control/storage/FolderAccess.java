package org.cuminreach.control.storage;

import java.io.IOException;
import java.util.Optional;

/**
 * The few file operations that the data folder is built of. Nothing outlives a crash for certain
 * before it is synced: bytes by {@link #sync}, names by {@link #syncFolder}.
 */
public interface FolderAccess extends AutoCloseable {
    /**
     * Reads a file.
     *
     * @param name its name
     * @return its bytes, or empty when there is no such file
     * @throws IOException when it cannot be read
     */
    Optional<byte[]> read(String name) throws IOException;

    /**
     * Creates a file or replaces its bytes.
     *
     * @param name its name
     * @param bytes the new content
     * @throws IOException when it cannot be written
     */
    void write(String name, byte[] bytes) throws IOException;

    /**
     * Appends to an existing file.
     *
     * @param name its name
     * @param bytes what to append
     * @throws IOException when it cannot be written
     */
    void append(String name, byte[] bytes) throws IOException;

    /**
     * Cuts a file.
     *
     * @param name its name
     * @param length bytes to keep
     * @throws IOException when it cannot be cut
     */
    void truncate(String name, long length) throws IOException;

    /**
     * Syncs the bytes of a file to disk.
     *
     * @param name its name
     * @throws IOException when it cannot be synced; what is on the disk is then not known
     */
    void sync(String name) throws IOException;

    /**
     * Renames a file, in place of another one if there is one.
     *
     * @param from its name
     * @param to its new name
     * @throws IOException when it cannot be renamed
     */
    void rename(String from, String to) throws IOException;

    /**
     * Deletes a file if it exists.
     *
     * @param name its name
     * @throws IOException when it cannot be deleted
     */
    void delete(String name) throws IOException;

    /**
     * Syncs the names in the folder.
     *
     * @throws IOException when they cannot be synced
     */
    void syncFolder() throws IOException;

    /**
     * Returns the room left on the disk.
     *
     * @return bytes
     * @throws IOException when it cannot be asked
     */
    long usableBytes() throws IOException;

    @Override
    void close() throws IOException;
}
