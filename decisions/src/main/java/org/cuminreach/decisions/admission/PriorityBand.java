package org.cuminreach.decisions.admission;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Waiting calls of one band, by start-time fair queueing: sources take turns so that each gets the
 * same running time, and the callers of a source take turns within it.
 */
final class PriorityBand<C> {
    private final Map<String, SourceQueue<C>> sources = new LinkedHashMap<>();
    private int waiting;
    private double waitingRunMillis;
    private double virtualTime;

    int waiting() {
        return waiting;
    }

    /** Returns the total running time of the waiting calls, in milliseconds. */
    double waitingRunMillis() {
        return waitingRunMillis;
    }

    int sources() {
        return sources.size();
    }

    /** Records the start of a call that did not wait. */
    void recordStart(Caller caller, double expectedMillis) {
        source(caller.source()).recordStart(virtualTime, expectedMillis);
    }

    /** Records the end of a call. */
    void recordEnd(Caller caller, double runMillis, double expectedMillis) {
        SourceQueue<C> source = sources.get(caller.source());
        source.recordEnd(runMillis, expectedMillis);
        removeIfIdle(caller.source(), source);
    }

    void add(Caller caller, SourceQueue.QueuedCall<C> call) {
        source(caller.source()).add(caller.name(), call, virtualTime);
        waiting++;
        waitingRunMillis += call.runMillis();
    }

    /** Removes the next call; it counts as running unless it can no longer start in time. */
    SourceQueue.QueuedCall<C> takeNext(double expectedMillis, long nowMillis) {
        String name = "";
        SourceQueue<C> next = null;
        for (Map.Entry<String, SourceQueue<C>> entry : sources.entrySet()) {
            SourceQueue<C> source = entry.getValue();
            if (source.waiting() > 0 && (next == null || source.startTag() < next.startTag())) {
                name = entry.getKey();
                next = source;
            }
        }
        SourceQueue.QueuedCall<C> call = countRemoved(next.takeNext());
        if (call.latestStartMillis() < nowMillis) {
            removeIfIdle(name, next);
        } else {
            virtualTime = Math.max(virtualTime, next.startTag());
            next.recordStart(virtualTime, expectedMillis);
        }
        return call;
    }

    /** Estimates the number of calls that are served before a caller's next one. */
    int callsAhead(Caller caller) {
        if (waiting == 0) {
            return 0;
        }
        SourceQueue<C> source = sources.get(caller.source());
        int ahead = 0;
        if (source != null) {
            int turns = (source.waiting(caller.name()) + 1) * Math.max(1, source.nameCount());
            ahead = Math.min(source.waiting(), turns);
        }
        return Math.min(waiting, (ahead + 1) * sources.size());
    }

    /** Returns the mean running time of the waiting calls times a number of calls. */
    double runMillis(int calls) {
        return waiting == 0 ? 0 : waitingRunMillis * calls / waiting;
    }

    /**
     * Removes the newest call of the source with the most calls, or else of the caller with the
     * most calls at the same source, if these have more waiting calls than the given caller.
     */
    Optional<SourceQueue.QueuedCall<C>> removeNewestOfLongerQueue(Caller caller) {
        if (waiting == 0) {
            return Optional.empty();
        }
        SourceQueue<C> own = sources.get(caller.source());
        SourceQueue<C> longest = longest(sources.values());
        int ownWaiting = own == null ? 0 : own.waiting();
        if (ownWaiting + 1 < longest.waiting()) {
            return Optional.of(countRemoved(longest.removeNewestOfLongestQueue()));
        }
        if (own != null && own.waiting(caller.name()) + 1 < own.longestQueueLength()) {
            return Optional.of(countRemoved(own.removeNewestOfLongestQueue()));
        }
        return Optional.empty();
    }

    /** Removes the newest call of the source, and its caller, with the most waiting calls. */
    SourceQueue.QueuedCall<C> removeNewestOfLongestQueue() {
        return countRemoved(longest(sources.values()).removeNewestOfLongestQueue());
    }

    /** Removes the calls that can no longer start in time. */
    void expire(long nowMillis, Consumer<C> expired) {
        Iterator<SourceQueue<C>> all = sources.values().iterator();
        while (all.hasNext()) {
            SourceQueue<C> source = all.next();
            source.expire(nowMillis, call -> expired.accept(countRemoved(call).call()));
            if (source.isIdle()) {
                all.remove();
            }
        }
    }

    private SourceQueue.QueuedCall<C> countRemoved(SourceQueue.QueuedCall<C> call) {
        waiting--;
        waitingRunMillis = waiting == 0 ? 0 : waitingRunMillis - call.runMillis();
        return call;
    }

    private SourceQueue<C> source(String name) {
        return sources.computeIfAbsent(name, absent -> new SourceQueue<>());
    }

    private void removeIfIdle(String name, SourceQueue<C> source) {
        if (source.isIdle()) {
            sources.remove(name);
        }
    }

    private static <C> SourceQueue<C> longest(Collection<SourceQueue<C>> sources) {
        SourceQueue<C> longest = sources.iterator().next();
        for (SourceQueue<C> source : sources) {
            if (source.waiting() > longest.waiting()) {
                longest = source;
            }
        }
        return longest;
    }
}
