package org.cuminreach.control.replica;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/** Read confirmations that wait for a quorum or for an index. Used only by the writer thread. */
final class PendingConfirmations {
    private final Map<Long, CompletableFuture<Long>> awaitingQuorum = new HashMap<>();
    private final TreeMap<Long, List<CompletableFuture<Long>>> awaitingIndex = new TreeMap<>();
    private long lastId;

    /** Starts at a random id, so that late responses to an earlier process match no new id. */
    PendingConfirmations(long lastId) {
        this.lastId = lastId;
    }

    long add(CompletableFuture<Long> result) {
        lastId++;
        awaitingQuorum.put(lastId, result);
        return lastId;
    }

    /** Removes a confirmation that was completed or has timed out. */
    void remove(long id) {
        awaitingQuorum.remove(id);
    }

    void recordConfirmed(long id, long index) {
        CompletableFuture<Long> result = awaitingQuorum.remove(id);
        if (result != null) {
            awaitingIndex.computeIfAbsent(index, at -> new ArrayList<>()).add(result);
        }
    }

    void completeUpTo(long appliedIndex, Completions completions) {
        while (!awaitingIndex.isEmpty() && awaitingIndex.firstKey() <= appliedIndex) {
            Map.Entry<Long, List<CompletableFuture<Long>>> reached = awaitingIndex.pollFirstEntry();
            for (CompletableFuture<Long> result : reached.getValue()) {
                completions.add(() -> result.complete(reached.getKey()));
            }
        }
    }
}
