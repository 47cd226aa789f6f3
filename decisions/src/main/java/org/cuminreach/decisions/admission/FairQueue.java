package org.cuminreach.decisions.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Admission to one target: as many calls run at once as it has slots, and the callers that wait
 * take turns. Waiting is bounded in number and in time. Not safe for use by several threads at
 * once.
 *
 * @param <C> type of a waiting call
 */
public final class FairQueue<C> {
    /** A call that waits. */
    private record Waiting<C>(C call, long latestStartMillis) {}

    private static final int MOST_WAITING_PER_SLOT = 8;
    private static final double SMOOTHING = 0.1;
    private static final double FIRST_SERVICE_MILLIS = 5;

    private final int slots;
    private final Map<String, Deque<Waiting<C>>> waiting = new LinkedHashMap<>();
    private int waitingCount;
    private int running;
    private double serviceMillis = FIRST_SERVICE_MILLIS;

    private FairQueue(int slots) {
        this.slots = slots;
    }

    /**
     * Returns an idle queue.
     *
     * @param <C> type of a waiting call
     * @param slots calls that the target runs at once
     * @return the queue
     */
    public static <C> FairQueue<C> ofSlots(int slots) {
        return new FairQueue<>(slots);
    }

    /**
     * Takes a call that has arrived.
     *
     * @param call the call
     * @param caller whose call it is
     * @param deadlineMillis time at which its caller gives up
     * @param nowMillis present time
     * @return whether it runs, waits or is refused
     */
    public AdmissionOutcome arrive(C call, String caller, long deadlineMillis, long nowMillis) {
        if (running < slots) {
            running++;
            return new AdmissionOutcome.Run();
        }
        long latestStart = deadlineMillis - Math.round(serviceMillis);
        double expectedWait = serviceMillis * (waitingCount + 1) / slots;
        if (nowMillis + expectedWait > latestStart) {
            return new AdmissionOutcome.Refused("deadline_cannot_be_met", retryAfter());
        }
        if (waitingCount >= slots * MOST_WAITING_PER_SLOT) {
            return new AdmissionOutcome.Refused("queue_full", retryAfter());
        }
        waiting.computeIfAbsent(caller, name -> new ArrayDeque<>())
                .add(new Waiting<>(call, latestStart));
        waitingCount++;
        return new AdmissionOutcome.Queued();
    }

    /**
     * Notes that a running call has ended, and starts the next.
     *
     * @param ranMillis how long it ran, in milliseconds
     * @param nowMillis present time
     * @return the call to run now, none or one; calls out of time stay for {@link #expire}
     */
    public List<C> release(double ranMillis, long nowMillis) {
        serviceMillis += SMOOTHING * (ranMillis - serviceMillis);
        running--;
        Iterator<Map.Entry<String, Deque<Waiting<C>>>> turns = waiting.entrySet().iterator();
        while (turns.hasNext()) {
            Map.Entry<String, Deque<Waiting<C>>> turn = turns.next();
            Deque<Waiting<C>> calls = turn.getValue();
            if (calls.peekFirst().latestStartMillis() < nowMillis) {
                continue;
            }
            C next = calls.removeFirst().call();
            turns.remove();
            if (!calls.isEmpty()) {
                waiting.put(turn.getKey(), calls);
            }
            waitingCount--;
            running++;
            return List.of(next);
        }
        return List.of();
    }

    /**
     * Takes out the calls that can no longer start in time; none of them has run.
     *
     * @param nowMillis present time
     * @return the calls to refuse
     */
    public List<C> expire(long nowMillis) {
        List<C> expired = new ArrayList<>();
        for (Deque<Waiting<C>> calls : waiting.values()) {
            calls.removeIf(
                    call -> {
                        boolean late = call.latestStartMillis() < nowMillis;
                        if (late) {
                            expired.add(call.call());
                        }
                        return late;
                    });
        }
        waiting.values().removeIf(Deque::isEmpty);
        waitingCount -= expired.size();
        return expired;
    }

    /**
     * Returns how many calls run.
     *
     * @return calls running
     */
    public int running() {
        return running;
    }

    /**
     * Returns how many calls wait.
     *
     * @return calls waiting
     */
    public int waiting() {
        return waitingCount;
    }

    private long retryAfter() {
        return Math.max(1, Math.round(serviceMillis * (waitingCount + 1) / slots));
    }
}
