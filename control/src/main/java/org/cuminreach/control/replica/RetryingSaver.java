package org.cuminreach.control.replica;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import org.cuminreach.control.storage.WriteFailedException;
import org.cuminreach.decisions.agreement.Effect;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Saves what must be on disk before anything is sent. A disk that is full or refuses writes stops
 * the replica from answering, not the process: the others go on without it meanwhile.
 */
final class RetryingSaver {
    private static final Logger LOGGER = LoggerFactory.getLogger(RetryingSaver.class);

    /** Pause before a disk that refused a write is tried again, in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 100;

    private final ReplicaStorage storage;
    private boolean writesFailing;

    RetryingSaver(ReplicaStorage storage) {
        this.storage = storage;
    }

    /**
     * Saves effects, however long the disk refuses.
     *
     * @param effects what to save
     * @throws UncheckedIOException when a sync fails; what it covered may be gone
     * @throws IllegalStateException when interrupted before all was saved
     */
    void save(List<Effect> effects) {
        while (!trySave(effects)) {
            try {
                Thread.sleep(RETRY_DELAY_MILLIS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException("stopped before its data was saved", interrupted);
            }
        }
        if (writesFailing) {
            writesFailing = false;
            LOGGER.info("event=disk_writes_again");
        }
    }

    private boolean trySave(List<Effect> effects) {
        try {
            storage.save(effects);
            return true;
        } catch (WriteFailedException refusal) {
            if (!writesFailing) {
                writesFailing = true;
                LOGGER.error("event=disk_refuses_writes action=wait", refusal);
            }
            return false;
        } catch (IOException unsynced) {
            throw new UncheckedIOException("the data folder could not be synced", unsynced);
        }
    }
}
