package org.cuminreach.decisions.admission;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Admission queue of one target, which runs at most as many calls at once as the target has slots.
 * Waiting calls are served by the priority of their routes, within a priority calls that can still
 * be on time before late ones, and within such a band so that each source gets the same running
 * time. A call that can be on time is admitted only while it is likely to be, given the work ahead
 * of it. Under overload the slots thus serve calls that are on time, and the others are refused
 * while their callers can still try elsewhere. A full queue refuses the newest call of whoever has
 * the most calls in it. Only callers with calls here take up memory. Not thread-safe.
 *
 * @param <C> type of a call
 */
public final class FairQueue<C> {
    /** Bounds the memory of a queue. Where routes have objectives, these bound it earlier. */
    private static final int MAX_WAITING_PER_SLOT = 8;

    /** Bounds every wait: callers without a deadline are better off elsewhere after a second. */
    private static final long MAX_WAIT_MILLIS = 1_000;

    /** Time after the last arrival in a band during which more are expected, in milliseconds. */
    private static final long RECENT_ARRIVAL_MILLIS = 1_000;

    /** Weight of the latest call in the mean running time, which adapts within about ten calls. */
    private static final double SMOOTHING = 0.1;

    /** Running time that is assumed until the first call has ended, in milliseconds. */
    private static final double INITIAL_RUN_MILLIS = 5;

    /** Share of each running time by which the shortest one drifts up, so that it is forgotten. */
    private static final double MIN_RUN_DRIFT = 0.001;

    private static final String DEADLINE = "deadline_cannot_be_met";
    private static final String OBJECTIVE = "objective_cannot_be_met";
    private static final String QUEUE_FULL = "queue_full";

    private int maxWaiting;
    private ConcurrencyLimit limit;
    private final List<PriorityBand<C>> bands = new ArrayList<>();
    private final List<RefusedCall<C>> refused = new ArrayList<>();
    private int running;
    private double meanRunMillis = INITIAL_RUN_MILLIS;
    private double minRunMillis;
    private final TolerableWaits tolerableWaits = new TolerableWaits();
    private final SlotReserve reserve = new SlotReserve();
    private final long[] lastArrivalMillis = new long[2 * AdmissionRequest.PRIORITIES];

    private FairQueue(int slots) {
        this.maxWaiting = slots * MAX_WAITING_PER_SLOT;
        this.limit = new ConcurrencyLimit(slots);
        for (int band = 0; band < 2 * AdmissionRequest.PRIORITIES; band++) {
            bands.add(new PriorityBand<>());
        }
        Arrays.fill(lastArrivalMillis, -RECENT_ARRIVAL_MILLIS);
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
        limit = new ConcurrencyLimit(slots);
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
        if (request.deadlineMillis() - Math.round(minRunMillis) <= nowMillis) {
            return refusal(
                    DEADLINE,
                    expectedWait(request, nowMillis),
                    maxWait(request, latest, nowMillis));
        }
        PriorityBand<C> band = bands.get(request.band());
        lastArrivalMillis[request.band()] = nowMillis;
        double runMillis =
                request.typicalRunMillis() > 0 ? request.typicalRunMillis() : meanRunMillis;
        reserve.recordArrival(request.clampedPriority(), runMillis, nowMillis);
        if (!request.isLate()) {
            tolerableWaits.recordArrival(request, latest - nowMillis, nowMillis);
        }
        if (!hasCallsAhead(request) && running < slotsFor(request.clampedPriority(), nowMillis)) {
            running++;
            band.recordStart(request.caller(), meanRunMillis);
            return new AdmissionOutcome.Run();
        }
        double wait = expectedWait(request, nowMillis);
        double maxWait = maxWait(request, latest, nowMillis);
        if (wait > maxWait) {
            return refusal(request.isLate() ? DEADLINE : OBJECTIVE, wait, maxWait);
        }
        if (waiting() >= maxWaiting && !displace(request)) {
            return refusal(QUEUE_FULL, wait, maxWait);
        }
        long waitsUntil =
                hasLessUrgentCalls(request, nowMillis) ? latestStart(request, nowMillis) : latest;
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
        return Math.min(latestStart(request, nowMillis), request.latestStartMillis());
    }

    /** Returns the latest time at which a call can start and still end within its deadline. */
    private long latestStart(AdmissionRequest request, long nowMillis) {
        double runMillis = Math.max(minRunMillis, request.typicalRunMillis());
        return Math.min(
                request.deadlineMillis() - Math.round(runMillis), nowMillis + MAX_WAIT_MILLIS);
    }

    /**
     * Tells whether less urgent calls have arrived lately. A call that is served before them may
     * wait beyond its objective, as its wait costs no call of its own band a slot.
     */
    private boolean hasLessUrgentCalls(AdmissionRequest request, long nowMillis) {
        for (int band = request.band() + 1; band < bands.size(); band++) {
            if (nowMillis - lastArrivalMillis[band] < RECENT_ARRIVAL_MILLIS) {
                return true;
            }
        }
        return false;
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
        running--;
        bands.get(request.band()).recordEnd(request.caller(), runMillis, meanRunMillis);
        meanRunMillis += SMOOTHING * (runMillis - meanRunMillis);
        minRunMillis = Math.min(runMillis, minRunMillis + MIN_RUN_DRIFT * runMillis);
        limit.recordRunTime(slowness, nowMillis);
        List<C> started = List.of();
        Optional<PriorityBand<C>> band = nextBand(nowMillis);
        while (band.isPresent()) {
            SourceQueue.QueuedCall<C> next = band.get().takeNext(meanRunMillis, nowMillis);
            if (next.latestStartMillis() < nowMillis) {
                refused.add(new RefusedCall<>(next.call(), refusal(DEADLINE)));
            } else {
                running++;
                started = append(started, next.call());
            }
            band = nextBand(nowMillis);
        }
        return started;
    }

    /** Returns the most urgent band with waiting calls, or empty if no slot is free for it. */
    private Optional<PriorityBand<C>> nextBand(long nowMillis) {
        for (int band = 0; band < bands.size(); band++) {
            if (bands.get(band).waiting() > 0) {
                return running < slotsFor(band / 2, nowMillis)
                        ? Optional.of(bands.get(band))
                        : Optional.empty();
            }
        }
        return Optional.empty();
    }

    /** Tells whether calls wait in the band of a call or in a more urgent one. */
    private boolean hasCallsAhead(AdmissionRequest request) {
        for (int band = 0; band <= request.band(); band++) {
            if (bands.get(band).waiting() > 0) {
                return true;
            }
        }
        return false;
    }

    private int slotsFor(int rank, long nowMillis) {
        return Math.max(1, limit.maxCalls() - reserve.reserved(rank, limit.maxCalls(), nowMillis));
    }

    /**
     * Removes the calls that can no longer start in time, and all others refused so far.
     *
     * @param nowMillis current time
     * @return the calls to refuse, none of which has run
     */
    public List<RefusedCall<C>> expire(long nowMillis) {
        for (PriorityBand<C> band : bands) {
            band.expire(nowMillis, call -> refused.add(new RefusedCall<>(call, refusal(DEADLINE))));
        }
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
        int waiting = 0;
        for (PriorityBand<C> band : bands) {
            waiting += band.waiting();
        }
        return waiting;
    }

    /**
     * Returns the current concurrency limit.
     *
     * @return at least 1, at most the number of slots
     */
    public int limit() {
        return limit.maxCalls();
    }

    /**
     * Returns the number of sources with calls here, counted once for each band.
     *
     * @return sources that take up memory
     */
    public int sources() {
        int sources = 0;
        for (PriorityBand<C> band : bands) {
            sources += band.sources();
        }
        return sources;
    }

    /**
     * Estimates how long a new call of a caller without calls here would wait.
     *
     * @param nowMillis current time
     * @return the wait in milliseconds for each priority, the highest first
     */
    public List<Integer> expectedWaitsMillis(long nowMillis) {
        List<Integer> waits = new ArrayList<>();
        double ahead = meanRunMillis;
        for (int priority = 0; priority < AdmissionRequest.PRIORITIES; priority++) {
            ahead += bands.get(2 * priority).waitingRunMillis();
            double slots = reserve.remaining(priority, limit.maxCalls(), nowMillis);
            waits.add((int) Math.round(ahead / slots));
            ahead += bands.get(2 * priority + 1).waitingRunMillis();
        }
        return waits;
    }

    /**
     * Refuses all waiting calls, for example because the target drains.
     *
     * @param reason reason code
     * @return the calls to refuse
     */
    public List<RefusedCall<C>> refuseAll(String reason) {
        for (PriorityBand<C> band : bands) {
            band.expire(
                    Long.MAX_VALUE, call -> refused.add(new RefusedCall<>(call, refusal(reason))));
        }
        return takeRefused();
    }

    /** Estimates the wait of a call from the work that is served before it. */
    private double expectedWait(AdmissionRequest request, long nowMillis) {
        double ahead = meanRunMillis;
        for (int band = 0; band < request.band(); band++) {
            ahead += bands.get(band).waitingRunMillis();
        }
        ahead += bands.get(request.band()).runMillisAhead(request.caller());
        return ahead / reserve.remaining(request.clampedPriority(), limit.maxCalls(), nowMillis);
    }

    /** Refuses the newest call of the least urgent lower band, or of a longer queue in its band. */
    private boolean displace(AdmissionRequest request) {
        for (int band = bands.size() - 1; band > request.band(); band--) {
            if (bands.get(band).waiting() > 0) {
                refuseDisplaced(bands.get(band).removeNewestOfLongestQueue());
                return true;
            }
        }
        Optional<SourceQueue.QueuedCall<C>> newest =
                bands.get(request.band()).removeNewestOfLongerQueue(request.caller());
        newest.ifPresent(this::refuseDisplaced);
        return newest.isPresent();
    }

    private void refuseDisplaced(SourceQueue.QueuedCall<C> call) {
        refused.add(new RefusedCall<>(call.call(), refusal(QUEUE_FULL)));
    }

    /** Refuses a call that waited; its turn would come after the waiting calls and one more. */
    private AdmissionOutcome.Refused refusal(String reason) {
        long millis = Math.round(meanRunMillis * (waiting() + 1) / limit.maxCalls());
        return new AdmissionOutcome.Refused(reason, Math.max(1, millis));
    }

    /** Refuses an arriving call until the expected wait has fallen to what it tolerates. */
    private AdmissionOutcome.Refused refusal(
            String reason, double waitMillis, double maxWaitMillis) {
        double excess = waitMillis - Math.max(0, maxWaitMillis);
        double nextFree = meanRunMillis / limit.maxCalls();
        return new AdmissionOutcome.Refused(
                reason, Math.max(1, Math.round(Math.max(excess, nextFree))));
    }

    private static <C> List<C> append(List<C> started, C call) {
        if (started.isEmpty()) {
            return List.of(call);
        }
        List<C> more = new ArrayList<>(started);
        more.add(call);
        return more;
    }
}
