package org.cuminreach.control.replica;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/** Confirmations that wait for a quorum or for an index. Used by the thread that writes alone. */
final class PendingConfirmations {
    private final Map<Long, CompletableFuture<Long>> awaitingQuorum = new HashMap<>();
    private final TreeMap<Long, List<CompletableFuture<Long>>> awaitingIndex = new TreeMap<>();
    private long lastId;

    /** A random first number keeps a late answer to an earlier process from being taken for new. */
    PendingConfirmations(long lastNumber) {
        this.lastId = lastNumber;
    }

    long add(CompletableFuture<Long> result) {
        lastId++;
        awaitingQuorum.put(lastId, result);
        return lastId;
    }

    /** Forgets a confirmation that was answered or has timed out. */
    void remove(long number) {
        awaitingQuorum.remove(number);
    }

    void recordConfirmed(long number, long index) {
        CompletableFuture<Long> waiting = awaitingQuorum.remove(number);
        if (waiting != null) {
            awaitingIndex.computeIfAbsent(index, at -> new ArrayList<>()).add(waiting);
        }
    }

    void completeUpTo(long appliedIndex, Completions completions) {
        while (!awaitingIndex.isEmpty() && awaitingIndex.firstKey() <= appliedIndex) {
            Map.Entry<Long, List<CompletableFuture<Long>>> reached = awaitingIndex.pollFirstEntry();
            for (CompletableFuture<Long> waiting : reached.getValue()) {
                completions.add(() -> waiting.complete(reached.getKey()));
            }
        }
    }
}
