package org.cuminreach.control.replica;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import org.cuminreach.control.storage.WriteFailedException;
import org.cuminreach.decisions.agreement.Effect;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Saves the effects of a batch before its messages are sent, and retries while writes fail, for
 * example because the disk is full. Meanwhile the replica does not respond, but the process keeps
 * running and the other replicas continue without it.
 */
final class RetryingSaver {
    private static final Logger LOGGER = LoggerFactory.getLogger(RetryingSaver.class);

    /** Delay between a failed write and its retry, in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 100;

    private final ReplicaStorage storage;
    private boolean writesFailing;

    RetryingSaver(ReplicaStorage storage) {
        this.storage = storage;
    }

    /**
     * Saves effects and retries until the writes succeed.
     *
     * @param effects the effects
     * @throws UncheckedIOException when a sync fails; the data that it covered may be lost
     * @throws IllegalStateException when interrupted before everything was saved
     */
    void save(List<Effect> effects) {
        while (!trySave(effects)) {
            try {
                Thread.sleep(RETRY_DELAY_MILLIS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException(
                        "interrupted before the data was saved", interrupted);
            }
        }
        if (writesFailing) {
            writesFailing = false;
            LOGGER.info("event=disk_writes_resumed");
        }
    }

    private boolean trySave(List<Effect> effects) {
        try {
            storage.save(effects);
            return true;
        } catch (WriteFailedException failure) {
            if (!writesFailing) {
                writesFailing = true;
                LOGGER.error("event=disk_write_failed action=retry", failure);
            }
            return false;
        } catch (IOException failure) {
            throw new UncheckedIOException("the data folder could not be synced", failure);
        }
    }
}
