package org.cuminreach.decisions.idempotency;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What a home remembers of the requests that carried a key. A key that is not remembered runs only
 * when it must be younger than everything that may have been forgotten: a restart, a move of the
 * home, and records dropped for room. Not safe for use by several threads at once.
 *
 * @param <T> type of what is remembered of a request
 */
public final class IdempotencyKeyStore<T> {
    /** Time for which a key that tells no time is protected, in milliseconds. */
    public static final long UNTIMED_KEY_WINDOW_MILLIS = 20_000;

    /** Time after a change within which nodes may differ on a home, in milliseconds. */
    public static final long CONVERGENCE_MILLIS = 6_000;

    /** Time for which every record is kept, in milliseconds. */
    public static final long MIN_RETENTION_MILLIS = 60_000;

    private static final long MAX_RETENTION_MILLIS = 600_000;
    private static final long MAX_CLOCK_SKEW_MILLIS = 1_000;
    private static final int RECORD_BYTES = 400;

    /** What is remembered of one key. */
    private static final class Record<T> {
        private final long fingerprint;
        private final long keyMillis;
        private final long arrivedMillis;
        private final T first;
        private boolean completed;
        private long bytes = RECORD_BYTES;

        private Record(long fingerprint, long keyMillis, long arrivedMillis, T first) {
            this.fingerprint = fingerprint;
            this.keyMillis = keyMillis;
            this.arrivedMillis = arrivedMillis;
            this.first = first;
        }
    }

    private final long maxBytes;
    private final Map<String, Record<T>> records = new LinkedHashMap<>();
    private long evictedUpToMillis;
    private long usedBytes;

    private IdempotencyKeyStore(long mostBytes, long startedMillis) {
        this.maxBytes = mostBytes;
        this.evictedUpToMillis = startedMillis;
    }

    /**
     * Returns the memory of a process that has just started and remembers nothing.
     *
     * @param <T> type of what is remembered of a request
     * @param mostBytes room that records may take, in bytes
     * @param startedMillis present wall-clock time
     * @return an empty memory
     */
    public static <T> IdempotencyKeyStore<T> startedAt(long mostBytes, long startedMillis) {
        return new IdempotencyKeyStore<>(mostBytes, startedMillis);
    }

    /**
     * Takes a request.
     *
     * @param key its key
     * @param fingerprint hash of the request without its key
     * @param first what to remember of it, should it be the first
     * @param homeSinceMillis time since which this node is the home of the key
     * @param nowMillis present wall-clock time
     * @return what to do with it
     */
    public KeyDecision<T> register(
            IdempotencyKey key, long fingerprint, T first, long homeSinceMillis, long nowMillis) {
        Record<T> known = records.get(key.text());
        if (known != null) {
            return known.fingerprint == fingerprint
                    ? new KeyDecision.Known<>(known.first)
                    : new KeyDecision.OtherRequest<>();
        }
        long keyMillis = key.createdMillis().orElse(nowMillis - UNTIMED_KEY_WINDOW_MILLIS);
        if (keyMillis <= Math.max(evictedUpToMillis, homeSinceMillis) + CONVERGENCE_MILLIS) {
            return new KeyDecision.MayHaveRun<>("key_older_than_memory");
        }
        if (keyMillis > nowMillis + MAX_CLOCK_SKEW_MILLIS) {
            return new KeyDecision.NotRun<>("key_from_the_future");
        }
        evictForSpace(nowMillis);
        if (usedBytes + RECORD_BYTES > maxBytes) {
            return new KeyDecision.NotRun<>("key_memory_full");
        }
        long remembered = key.createdMillis().orElse(nowMillis);
        records.put(key.text(), new Record<>(fingerprint, remembered, nowMillis, first));
        usedBytes += RECORD_BYTES;
        return new KeyDecision.Run<>();
    }

    /**
     * Notes that a request did not run: its key is free again.
     *
     * @param key its key
     */
    public void release(IdempotencyKey key) {
        Record<T> known = records.remove(key.text());
        if (known != null) {
            usedBytes -= known.bytes;
        }
    }

    /**
     * Notes that a request has its final outcome.
     *
     * @param key its key
     * @param bytes room that the outcome takes, in bytes
     */
    public void complete(IdempotencyKey key, long bytes) {
        Record<T> known = records.get(key.text());
        if (known != null && !known.completed) {
            known.completed = true;
            known.bytes += bytes;
            usedBytes += bytes;
        }
    }

    /**
     * Forgets what is older than any record is kept.
     *
     * @param nowMillis present wall-clock time
     */
    public void expire(long nowMillis) {
        evict(nowMillis - MAX_RETENTION_MILLIS, false);
    }

    /**
     * Returns how many keys are remembered.
     *
     * @return remembered keys
     */
    public int size() {
        return records.size();
    }

    /**
     * Returns the room that the records take.
     *
     * @return bytes, at most the limit and the outcomes of the requests that run
     */
    public long usedBytes() {
        return usedBytes;
    }

    private void evictForSpace(long nowMillis) {
        expire(nowMillis);
        if (usedBytes + RECORD_BYTES > maxBytes) {
            evict(nowMillis - MIN_RETENTION_MILLIS, true);
        }
    }

    /** Records are in the order of their arrival, so the oldest come first. */
    private void evict(long arrivedBeforeMillis, boolean onlyForRoom) {
        Iterator<Record<T>> oldest = records.values().iterator();
        while (oldest.hasNext()) {
            Record<T> record = oldest.next();
            boolean enough = onlyForRoom && usedBytes + RECORD_BYTES <= maxBytes;
            if (enough || record.arrivedMillis >= arrivedBeforeMillis) {
                return;
            }
            if (record.completed) {
                oldest.remove();
                usedBytes -= record.bytes;
                evictedUpToMillis = Math.max(evictedUpToMillis, record.keyMillis);
            }
        }
    }
}
