package org.cuminreach.decisions.idempotency;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Records of the requests with an idempotency key at the home node of the key. A request whose key
 * is not stored runs only if the key is newer than anything that may have been lost by a restart, a
 * change of the home node or eviction. Not thread-safe.
 *
 * @param <T> type of the data stored for a request
 */
public final class IdempotencyKeyStore<T> {
    /** Time for which a key without a creation time is protected, in milliseconds. */
    public static final long UNTIMED_KEY_WINDOW_MILLIS = 20_000;

    /** Time after a change within which nodes may disagree on a home node, in milliseconds. */
    public static final long CONVERGENCE_MILLIS = 6_000;

    /** Minimum time for which every record is kept, in milliseconds. */
    public static final long MIN_RETENTION_MILLIS = 60_000;

    private static final long MAX_RETENTION_MILLIS = 600_000;
    private static final long MAX_CLOCK_SKEW_MILLIS = 1_000;
    private static final int RECORD_BYTES = 400;

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

    private IdempotencyKeyStore(long maxBytes, long startedMillis) {
        this.maxBytes = maxBytes;
        this.evictedUpToMillis = startedMillis;
    }

    /**
     * Creates an empty store for a process that has just started.
     *
     * @param <T> type of the data stored for a request
     * @param maxBytes maximum size of the records, in bytes
     * @param startedMillis current wall-clock time
     * @return an empty store
     */
    public static <T> IdempotencyKeyStore<T> startedAt(long maxBytes, long startedMillis) {
        return new IdempotencyKeyStore<>(maxBytes, startedMillis);
    }

    /**
     * Registers a request unless its key is already stored.
     *
     * @param key key of the request
     * @param fingerprint hash of the request without its key
     * @param first data to store if the request is the first with its key
     * @param homeSinceMillis time since which this node has been the home of the key
     * @param nowMillis current wall-clock time
     * @return decision on the request
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
        long keyTime = key.createdMillis().orElse(nowMillis);
        records.put(key.text(), new Record<>(fingerprint, keyTime, nowMillis, first));
        usedBytes += RECORD_BYTES;
        return new KeyDecision.Run<>();
    }

    /**
     * Releases the key of a request that did not run.
     *
     * @param key key of the request
     */
    public void release(IdempotencyKey key) {
        Record<T> known = records.remove(key.text());
        if (known != null) {
            usedBytes -= known.bytes;
        }
    }

    /**
     * Records that a request has its final outcome.
     *
     * @param key key of the request
     * @param bytes size of the outcome, in bytes
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
     * Evicts records older than the maximum retention time.
     *
     * @param nowMillis current wall-clock time
     */
    public void expire(long nowMillis) {
        evict(nowMillis - MAX_RETENTION_MILLIS, false);
    }

    /**
     * Returns the number of stored keys.
     *
     * @return stored keys
     */
    public int size() {
        return records.size();
    }

    /**
     * Returns the size of the records.
     *
     * @return size in bytes, at most the limit plus the outcomes of the running requests
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

    /** Evicts completed records, oldest first; the records are in order of arrival. */
    private void evict(long arrivedBeforeMillis, boolean onlyForSpace) {
        Iterator<Record<T>> oldest = records.values().iterator();
        while (oldest.hasNext()) {
            Record<T> record = oldest.next();
            boolean hasSpace = onlyForSpace && usedBytes + RECORD_BYTES <= maxBytes;
            if (hasSpace || record.arrivedMillis >= arrivedBeforeMillis) {
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
