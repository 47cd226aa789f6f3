package org.cuminreach.decisions.poison;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.cuminreach.decisions.routing.BoundedMaps;

/**
 * Records of suspected requests by fingerprint, of bounded number. Requests with several losses are
 * kept apart, so that many requests with one loss each do not evict them. Not thread-safe.
 *
 * @param <S> type of the record
 */
final class SuspectStore<S> {
    /**
     * Interval at which expired records are looked for. All records are looked through each time,
     * which must not be done for each report.
     */
    static final long EXPIRY_INTERVAL_MILLIS = 1_000;

    private final Map<String, S> lostOnce;
    private final Map<String, S> lostRepeatedly;
    private long nextExpiryMillis = Long.MIN_VALUE;

    SuspectStore(int maxSize) {
        lostOnce = BoundedMaps.withMaxSize(maxSize);
        lostRepeatedly = BoundedMaps.withMaxSize(maxSize);
    }

    Optional<S> get(String fingerprint) {
        S repeated = lostRepeatedly.get(fingerprint);
        return Optional.ofNullable(repeated != null ? repeated : lostOnce.get(fingerprint));
    }

    /** Puts a record as the latest one. */
    void put(String fingerprint, S suspect, boolean repeated) {
        remove(fingerprint);
        (repeated ? lostRepeatedly : lostOnce).put(fingerprint, suspect);
    }

    Optional<S> remove(String fingerprint) {
        S once = lostOnce.remove(fingerprint);
        S repeated = lostRepeatedly.remove(fingerprint);
        return Optional.ofNullable(once != null ? once : repeated);
    }

    /** Removes expired records, unless that was done within the interval. */
    void removeExpired(Predicate<S> expired, long nowMillis) {
        if (nowMillis < nextExpiryMillis) {
            return;
        }
        nextExpiryMillis = nowMillis + EXPIRY_INTERVAL_MILLIS;
        lostOnce.values().removeIf(expired);
        lostRepeatedly.values().removeIf(expired);
    }

    int size() {
        return lostOnce.size() + lostRepeatedly.size();
    }

    boolean isEmpty() {
        return lostOnce.isEmpty() && lostRepeatedly.isEmpty();
    }

    /** Returns the records with their fingerprints. */
    List<Map.Entry<String, S>> entries() {
        return Stream.concat(lostRepeatedly.entrySet().stream(), lostOnce.entrySet().stream())
                .toList();
    }
}
