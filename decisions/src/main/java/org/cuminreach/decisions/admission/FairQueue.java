package org.cuminreach.decisions.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.cuminreach.decisions.routing.CallRateLimit;

/**
 * Admission queue of one target, which runs at most as many calls at once as the target has slots,
 * and starts no more of them a second than the target states as its limit. Waiting calls are served
 * by the priority of their routes, within a priority calls that can still be on time before late
 * ones, and within such a band so that each source gets the same running time. A call that can be
 * on time is admitted only while it is likely to be, given the work ahead of it. Under overload the
 * slots thus serve calls that are on time, and the others are refused while their callers can still
 * try elsewhere. A full queue refuses the newest call of whoever has the most calls in it. Only
 * callers with calls here take up memory. Not thread-safe.
 *
 * @param <C> type of a call
 */
public final class FairQueue<C> {
    /** Bounds the memory of a queue. Where routes have objectives, these bound it earlier. */
    private static final int MAX_WAITING_PER_SLOT = 8;

    private static final String DEADLINE = "deadline_cannot_be_met";
    private static final String OBJECTIVE = "objective_cannot_be_met";
    private static final String QUEUE_FULL = "queue_full";

    private int maxWaiting;
    private final TargetCapacity capacity;
    private final WaitingCalls<C> waitingCalls = new WaitingCalls<>();
    private final List<RefusedCall<C>> refused = new ArrayList<>();
    private int running;
    private final TolerableWaits tolerableWaits = new TolerableWaits();

    private FairQueue(int slots) {
        this.maxWaiting = slots * MAX_WAITING_PER_SLOT;
        this.capacity = new TargetCapacity(slots);
    }

    /**
     * Creates an empty queue.
     *
     * @param <C> type of a call
     * @param slots calls that the target runs at once
     * @return the queue
     */
    public static <C> FairQueue<C> ofSlots(int slots) {
        return new FairQueue<>(slots);
    }

    /**
     * Changes the number of slots, for example when another target takes the place of the first.
     *
     * @param slots calls that the target runs at once
     */
    public void resize(int slots) {
        maxWaiting = slots * MAX_WAITING_PER_SLOT;
        capacity.resize(slots);
    }

    /**
     * Sets the limit on the rate at which calls start.
     *
     * @param limit limit that the target states
     * @param nowMillis current time
     */
    public void setRateLimit(CallRateLimit limit, long nowMillis) {
        capacity.setRateLimit(limit, nowMillis);
    }

    /**
     * Sets what the target withstands now. Calls that started before count towards it.
     *
     * @param limit limit while the target is cold, or empty when it is warm
     * @param nowMillis current time
     */
    public void setColdLimit(Optional<ColdLimit> limit, long nowMillis) {
        capacity.setColdLimit(limit, nowMillis);
    }

    /**
     * Offers a call without an objective. It may displace another one, see {@link #takeRefused}.
     *
     * @param call the call
     * @param caller caller that the call is from
     * @param deadlineMillis time at which its caller gives up
     * @param nowMillis current time
     * @return whether the call runs, waits or is refused
     */
    public AdmissionOutcome offer(C call, Caller caller, long deadlineMillis, long nowMillis) {
        return offer(
                call,
                AdmissionRequest.withDeadline(caller, deadlineMillis, 0, nowMillis),
                nowMillis);
    }

    /**
     * Offers a call. One that could start but not end in time is refused: it would waste a slot.
     *
     * @param call the call
     * @param request caller, priority and time limits of the call
     * @param nowMillis current time
     * @return whether the call runs, waits or is refused
     */
    public AdmissionOutcome offer(C call, AdmissionRequest request, long nowMillis) {
        long latest = latestUsefulStart(request, nowMillis);
        if (request.deadlineMillis() - Math.round(capacity.minRunMillis()) <= nowMillis) {
            return refusal(
                    DEADLINE,
                    request,
                    expectedWait(request, nowMillis),
                    maxWait(request, latest, nowMillis),
                    nowMillis);
        }
        PriorityBand<C> band = waitingCalls.band(request.band());
        waitingCalls.recordArrival(request, nowMillis);
        double runMillis =
                request.typicalRunMillis() > 0
                        ? request.typicalRunMillis()
                        : capacity.meanRunMillis();
        capacity.recordArrival(request.clampedPriority(), runMillis, nowMillis);
        if (!request.isLate()) {
            tolerableWaits.recordArrival(request, latest - nowMillis, nowMillis);
        }
        if (!waitingCalls.hasCallsAhead(request)
                && capacity.allowsStart(running, request.clampedPriority(), nowMillis)) {
            running++;
            capacity.recordStart(nowMillis);
            band.recordStart(request.caller(), capacity.meanRunMillis());
            return new AdmissionOutcome.Run();
        }
        double wait = expectedWait(request, nowMillis);
        double maxWait = maxWait(request, latest, nowMillis);
        if (wait > maxWait) {
            String reason = request.isLate() ? DEADLINE : OBJECTIVE;
            return refusal(reason, request, wait, maxWait, nowMillis);
        }
        if (waiting() >= maxWaiting && !displace(request, nowMillis)) {
            return refusal(QUEUE_FULL, request, wait, maxWait, nowMillis);
        }
        long waitsUntil =
                waitingCalls.hasLessUrgentCalls(request, nowMillis)
                        ? request.latestStartForDeadlineMillis(capacity.minRunMillis(), nowMillis)
                        : latest;
        waitsUntil = Math.min(waitsUntil, request.latestRefusalMillis(nowMillis));
        band.add(request.caller(), new SourceQueue.QueuedCall<>(call, runMillis, waitsUntil));
        return new AdmissionOutcome.Queued();
    }

    /** Returns how long the expected wait of a call may be for the call to be admitted. */
    private double maxWait(AdmissionRequest request, long latestStartMillis, long nowMillis) {
        double own = latestStartMillis - nowMillis;
        return request.isLate()
                ? own
                : Math.min(
                        own, tolerableWaits.maxQueueMillis(request.clampedPriority(), nowMillis));
    }

    /** Returns the latest time at which starting a call is still worth a slot. */
    private long latestUsefulStart(AdmissionRequest request, long nowMillis) {
        return Math.min(
                request.latestStartForDeadlineMillis(capacity.minRunMillis(), nowMillis),
                request.latestStartMillis());
    }

    /**
     * Releases the slot of a call without an objective that has ended, and starts the next calls.
     *
     * @param caller caller that the call was from
     * @param runMillis running time of the call, in milliseconds
     * @param nowMillis current time
     * @return the calls to run now
     */
    public List<C> release(Caller caller, double runMillis, long nowMillis) {
        AdmissionRequest request = AdmissionRequest.withDeadline(caller, nowMillis, 0, nowMillis);
        return release(request, runMillis, runMillis, nowMillis);
    }

    /**
     * Releases the slot of a call that has ended, and starts the next calls.
     *
     * @param request the value with which the call was offered
     * @param runMillis running time of the call, in milliseconds
     * @param slowness ratio of that time to the typical running time of such a call
     * @param nowMillis current time
     * @return the calls to run now
     */
    public List<C> release(
            AdmissionRequest request, double runMillis, double slowness, long nowMillis) {
        freeSlot(request, runMillis);
        capacity.recordEnd(runMillis, slowness, nowMillis);
        return startWaiting(nowMillis);
    }

    /**
     * Releases the slot of a call that ended without a success, and starts the next calls.
     *
     * @param request the value with which the call was offered
     * @param elapsedMillis time since its start, in milliseconds
     * @param slowness ratio of that time to the typical running time of such a call
     * @param nowMillis current time
     * @return the calls to run now
     */
    public List<C> releaseFailed(
            AdmissionRequest request, double elapsedMillis, double slowness, long nowMillis) {
        freeSlot(request, elapsedMillis);
        capacity.recordFailure(elapsedMillis, slowness, nowMillis);
        return startWaiting(nowMillis);
    }

    private void freeSlot(AdmissionRequest request, double millis) {
        running--;
        waitingCalls
                .band(request.band())
                .recordEnd(request.caller(), millis, capacity.meanRunMillis());
    }

    /** Takes back the start of a call that was not sent; it is still released as usual. */
    public void cancelStart() {
        capacity.cancelStart();
    }

    /**
     * Starts the waiting calls for which there is room, for example because time has passed since
     * the latest start.
     *
     * @param nowMillis current time
     * @return the calls to run now
     */
    public List<C> startWaiting(long nowMillis) {
        List<C> started = new ArrayList<>();
        Optional<PriorityBand<C>> band = nextBand(nowMillis);
        while (band.isPresent()) {
            SourceQueue.QueuedCall<C> next =
                    band.get().takeNext(capacity.meanRunMillis(), nowMillis);
            if (next.latestStartMillis() < nowMillis) {
                refused.add(new RefusedCall<>(next.call(), refusal(DEADLINE, nowMillis)));
            } else {
                running++;
                capacity.recordStart(nowMillis);
                started.add(next.call());
            }
            band = nextBand(nowMillis);
        }
        return started;
    }

    /** Returns the most urgent band with waiting calls, or empty if none of them may start. */
    private Optional<PriorityBand<C>> nextBand(long nowMillis) {
        OptionalInt band = waitingCalls.mostUrgentBand();
        return band.isPresent() && capacity.allowsStart(running, band.getAsInt() / 2, nowMillis)
                ? Optional.of(waitingCalls.band(band.getAsInt()))
                : Optional.empty();
    }

    /**
     * Removes the calls that can no longer start in time, and all others refused so far.
     *
     * @param nowMillis current time
     * @return the calls to refuse, none of which has run
     */
    public List<RefusedCall<C>> expire(long nowMillis) {
        waitingCalls.expire(
                nowMillis,
                call -> refused.add(new RefusedCall<>(call, refusal(DEADLINE, nowMillis))));
        return takeRefused();
    }

    /**
     * Removes the calls that were refused since the last time; none of them has run.
     *
     * @return the calls to refuse
     */
    public List<RefusedCall<C>> takeRefused() {
        if (refused.isEmpty()) {
            return List.of();
        }
        List<RefusedCall<C>> taken = List.copyOf(refused);
        refused.clear();
        return taken;
    }

    /**
     * Returns the number of running calls.
     *
     * @return running calls
     */
    public int running() {
        return running;
    }

    /**
     * Returns the number of waiting calls.
     *
     * @return waiting calls
     */
    public int waiting() {
        return waitingCalls.size();
    }

    /**
     * Returns the number of calls that the target can sustain at once.
     *
     * @return at least 1, at most the number of slots
     */
    public int limit() {
        return capacity.sustainableCalls();
    }

    /**
     * Tells whether a new call would wait behind others or for its turn under the rate limit.
     *
     * @param nowMillis current time
     * @return whether calls wait, or the rate limit lets none start yet
     */
    public boolean hasWaits(long nowMillis) {
        return waiting() > 0 || !capacity.isWithinRate(nowMillis);
    }

    /**
     * Returns the number of sources with calls here, counted once for each band.
     *
     * @return sources that take up memory
     */
    public int sources() {
        return waitingCalls.sources();
    }

    /**
     * Estimates how long a new call of a caller without calls here would wait.
     *
     * @param nowMillis current time
     * @return the wait in milliseconds by priority, the highest first; the last is that of the rest
     */
    public List<Integer> expectedWaitsMillis(long nowMillis) {
        List<Integer> waits = new ArrayList<>();
        for (WaitingCalls.Ahead ahead : waitingCalls.aheadByPriority()) {
            waits.add((int) Math.round(waitMillis(ahead, waits.size(), nowMillis)));
        }
        while (waits.size() > 1 && waits.getLast().equals(waits.get(waits.size() - 2))) {
            waits.removeLast();
        }
        return waits;
    }

    /**
     * Refuses all waiting calls, for example because the target drains.
     *
     * @param reason reason code
     * @param nowMillis current time
     * @return the calls to refuse
     */
    public List<RefusedCall<C>> refuseAll(String reason, long nowMillis) {
        waitingCalls.expire(
                Long.MAX_VALUE,
                call -> refused.add(new RefusedCall<>(call, refusal(reason, nowMillis))));
        return takeRefused();
    }

    /** Estimates the wait of a call from the work that is served before it. */
    private double expectedWait(AdmissionRequest request, long nowMillis) {
        return waitMillis(waitingCalls.ahead(request), request.clampedPriority(), nowMillis);
    }

    private double waitMillis(WaitingCalls.Ahead ahead, int priority, long nowMillis) {
        return capacity.waitMillis(ahead.runMillis(), ahead.calls(), priority, nowMillis);
    }

    /** Refuses a waiting call in favour of a new one, and tells whether there is one to refuse. */
    private boolean displace(AdmissionRequest request, long nowMillis) {
        Optional<SourceQueue.QueuedCall<C>> displaced = waitingCalls.removeDisplacedBy(request);
        displaced.ifPresent(
                call ->
                        refused.add(
                                new RefusedCall<>(call.call(), refusal(QUEUE_FULL, nowMillis))));
        return displaced.isPresent();
    }

    /** Refuses a call that waited; its turn would come after the waiting calls and one more. */
    private AdmissionOutcome.Refused refusal(String reason, long nowMillis) {
        long nextFree = Math.round(capacity.nextFreeMillis(waiting(), 0, nowMillis));
        return new AdmissionOutcome.Refused(reason, Math.max(1, nextFree));
    }

    /** Refuses an arriving call until the expected wait has fallen to what it tolerates. */
    private AdmissionOutcome.Refused refusal(
            String reason,
            AdmissionRequest request,
            double waitMillis,
            double maxWaitMillis,
            long nowMillis) {
        double excess = waitMillis - Math.max(0, maxWaitMillis);
        double nextFree = capacity.nextFreeMillis(0, request.clampedPriority(), nowMillis);
        return new AdmissionOutcome.Refused(
                reason, Math.max(1, Math.round(Math.max(excess, nextFree))));
    }
}
