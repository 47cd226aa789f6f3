package org.cuminreach.control.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * The queue of work items of a replica and the single thread that processes them in order of
 * arrival. Items that arrive while the disk syncs form the next batch.
 *
 * @param <T> type of the items
 */
final class ReplicaWorkQueue<T> {
    private static final int MAX_BATCH_ITEMS = 256;
    private static final long CLOSE_POLL_MILLIS = 50;

    private final LinkedBlockingQueue<T> items = new LinkedBlockingQueue<>();
    private final AtomicBoolean open = new AtomicBoolean(true);
    private final Thread writer;

    ReplicaWorkQueue(Consumer<List<T>> batches, ReplicaFailureListener failures) {
        writer = new Thread(() -> run(batches, failures), "replica-writer");
        writer.setDaemon(true);
    }

    void start() {
        writer.start();
    }

    /** Adds an item; returns false when it will definitely not be processed. */
    boolean add(T item) {
        return open.get() && items.add(item);
    }

    int size() {
        return items.size();
    }

    /** Stops the thread after its current batch; an interrupt would close the file it writes. */
    void close() throws InterruptedException {
        open.set(false);
        if (Thread.currentThread() != writer) {
            writer.join();
        }
    }

    private void run(Consumer<List<T>> batches, ReplicaFailureListener failures) {
        try {
            while (open.get()) {
                T first = items.poll(CLOSE_POLL_MILLIS, TimeUnit.MILLISECONDS);
                if (first == null) {
                    continue;
                }
                List<T> batch = new ArrayList<>();
                batch.add(first);
                items.drainTo(batch, MAX_BATCH_ITEMS - 1);
                batches.accept(batch);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException failure) {
            open.set(false);
            failures.onFailure(failure);
        }
    }
}
