package org.cuminreach.control.storage;

import java.io.IOException;
import java.util.Optional;

/**
 * The file operations that the data folder needs. A change may be lost in a crash until it is
 * synced: the bytes of a file by {@link #sync}, names by {@link #syncFolder}.
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
     * @param bytes the bytes to append
     * @throws IOException when it cannot be written
     */
    void append(String name, byte[] bytes) throws IOException;

    /**
     * Truncates a file.
     *
     * @param name its name
     * @param length bytes to keep
     * @throws IOException when it cannot be truncated
     */
    void truncate(String name, long length) throws IOException;

    /**
     * Syncs the bytes of a file to disk.
     *
     * @param name its name
     * @throws IOException when it cannot be synced; the content on disk is then unknown
     */
    void sync(String name) throws IOException;

    /**
     * Renames a file, replacing an existing file of the new name.
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
     * Syncs the file names in the folder.
     *
     * @throws IOException when they cannot be synced
     */
    void syncFolder() throws IOException;

    /**
     * Returns the usable disk space in bytes.
     *
     * @return usable bytes
     * @throws IOException when it cannot be determined
     */
    long usableBytes() throws IOException;

    @Override
    void close() throws IOException;
}
