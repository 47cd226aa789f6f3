package org.cuminreach.decisions.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Waiting calls of one source. Its callers, distinguished by name, take turns; the start tag
 * decides the turn of the source among others in start-time fair queueing.
 */
final class SourceQueue<C> {
    record QueuedCall<C>(C call, double runMillis, long latestStartMillis) {}

    private final Map<String, Deque<QueuedCall<C>>> queuesByName = new LinkedHashMap<>();
    private int waiting;
    private int running;
    private double startTag;

    int waiting() {
        return waiting;
    }

    int waiting(String name) {
        Deque<QueuedCall<C>> calls = queuesByName.get(name);
        return calls == null ? 0 : calls.size();
    }

    int nameCount() {
        return queuesByName.size();
    }

    boolean isIdle() {
        return waiting == 0 && running == 0;
    }

    double startTag() {
        return startTag;
    }

    /** Records the start of a call, and advances the tag by its expected running time. */
    void recordStart(double virtualTime, double expectedMillis) {
        running++;
        startTag = Math.max(startTag, virtualTime) + expectedMillis;
    }

    /** Records the end of a call, and corrects the tag by its actual running time. */
    void recordEnd(double runMillis, double expectedMillis) {
        running--;
        startTag += runMillis - expectedMillis;
    }

    void add(String name, QueuedCall<C> call, double virtualTime) {
        if (waiting == 0) {
            startTag = Math.max(startTag, virtualTime);
        }
        queuesByName.computeIfAbsent(name, absent -> new ArrayDeque<>()).addLast(call);
        waiting++;
    }

    /** Removes the oldest call of the caller whose turn it is. */
    QueuedCall<C> takeNext() {
        Iterator<Map.Entry<String, Deque<QueuedCall<C>>>> turns =
                queuesByName.entrySet().iterator();
        Map.Entry<String, Deque<QueuedCall<C>>> turn = turns.next();
        turns.remove();
        QueuedCall<C> next = turn.getValue().removeFirst();
        if (!turn.getValue().isEmpty()) {
            queuesByName.put(turn.getKey(), turn.getValue());
        }
        waiting--;
        return next;
    }

    int longestQueueLength() {
        int longest = 0;
        for (Deque<QueuedCall<C>> calls : queuesByName.values()) {
            longest = Math.max(longest, calls.size());
        }
        return longest;
    }

    /** Removes the newest call of the caller with the most calls. */
    QueuedCall<C> removeNewestOfLongestQueue() {
        int longest = longestQueueLength();
        Iterator<Deque<QueuedCall<C>>> all = queuesByName.values().iterator();
        Deque<QueuedCall<C>> calls = all.next();
        while (calls.size() < longest) {
            calls = all.next();
        }
        QueuedCall<C> newest = calls.removeLast();
        if (calls.isEmpty()) {
            all.remove();
        }
        waiting--;
        return newest;
    }

    /** Removes the calls that can no longer start in time. */
    void expire(long nowMillis, Consumer<QueuedCall<C>> onExpired) {
        for (Deque<QueuedCall<C>> calls : queuesByName.values()) {
            calls.removeIf(
                    call -> {
                        boolean expired = call.latestStartMillis() < nowMillis;
                        if (expired) {
                            onExpired.accept(call);
                            waiting--;
                        }
                        return expired;
                    });
        }
        queuesByName.values().removeIf(Deque::isEmpty);
    }
}
