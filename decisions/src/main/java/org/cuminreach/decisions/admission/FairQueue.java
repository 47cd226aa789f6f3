package org.cuminreach.decisions.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Admission to one target by start-time fair queueing. No more calls run at once than the target's
 * slots. Those that wait take turns by source, so that each source gets the same running time, and
 * by caller within a source. Waiting is bounded in number and in time; a full queue refuses the
 * newest call of whoever has the most calls in it. Only callers with calls here cost memory. Not
 * safe for use by several threads at once.
 *
 * @param <C> type of a call
 */
public final class FairQueue<C> {
    private static final int MOST_WAITING_PER_SLOT = 8;
    private static final long LONGEST_WAIT_MILLIS = 1_000;
    private static final double SMOOTHING = 0.1;
    private static final double FIRST_SERVICE_MILLIS = 5;
    private static final double QUICKEST_DRIFT = 0.001;
    private static final String LATE = "deadline_cannot_be_met";
    private static final String FULL = "queue_full";

    private int mostWaiting;
    private ConcurrencyLimit limit;
    private final Map<String, WaitingCalls<C>> sources = new LinkedHashMap<>();
    private final List<RefusedCall<C>> refused = new ArrayList<>();
    private int waiting;
    private int running;
    private double virtualTime;
    private double serviceMillis = FIRST_SERVICE_MILLIS;
    private double quickestMillis;

    private FairQueue(int slots) {
        this.mostWaiting = slots * MOST_WAITING_PER_SLOT;
        this.limit = new ConcurrencyLimit(slots);
    }

    /**
     * Returns an idle queue.
     *
     * @param <C> type of a call
     * @param slots calls that the target runs at once
     * @return the queue
     */
    public static <C> FairQueue<C> ofSlots(int slots) {
        return new FairQueue<>(slots);
    }

    /**
     * Changes the number of slots, as for another target at the same place.
     *
     * @param slots calls that the target runs at once
     */
    public void resize(int slots) {
        mostWaiting = slots * MOST_WAITING_PER_SLOT;
        limit = new ConcurrencyLimit(slots);
    }

    /**
     * Takes a call that has arrived. Another call may be refused in its place; see {@link
     * #takeRefused}.
     *
     * @param call the call
     * @param caller whose call it is
     * @param deadlineMillis time at which its caller gives up
     * @param nowMillis present time
     * @return whether it runs, waits or is refused
     */
    public AdmissionOutcome arrive(C call, Caller caller, long deadlineMillis, long nowMillis) {
        return arrive(call, caller, deadlineMillis, 0, nowMillis);
    }

    /**
     * Takes a call that has arrived and whose running time can be told beforehand. A call that
     * could begin in time but not end in time is refused: it would take a slot for nothing.
     *
     * @param call the call
     * @param caller whose call it is
     * @param deadlineMillis time at which its caller gives up
     * @param usualMillis how long such a call usually runs, in milliseconds; 0 when not known
     * @param nowMillis present time
     * @return whether it runs, waits or is refused
     */
    public AdmissionOutcome arrive(
            C call, Caller caller, long deadlineMillis, double usualMillis, long nowMillis) {
        if (deadlineMillis - Math.round(quickestMillis) <= nowMillis) {
            return refusal(LATE);
        }
        if (waiting == 0 && running < limit.calls()) {
            start(source(caller.source()));
            return new AdmissionOutcome.Run();
        }
        long latestStart = deadlineMillis - Math.round(Math.max(quickestMillis, usualMillis));
        if (nowMillis + expectedWait(caller) > latestStart) {
            return refusal(LATE);
        }
        if (waiting >= mostWaiting && !displace(caller)) {
            return refusal(FULL);
        }
        long latest = Math.min(latestStart, nowMillis + LONGEST_WAIT_MILLIS);
        source(caller.source())
                .add(caller.name(), new WaitingCalls.Waiting<>(call, latest), virtualTime);
        waiting++;
        return new AdmissionOutcome.Queued();
    }

    /**
     * Notes that a running call has ended, and starts the next.
     *
     * @param caller whose call it was
     * @param ranMillis how long it ran, in milliseconds
     * @param nowMillis present time
     * @return the calls to run now
     */
    public List<C> release(Caller caller, double ranMillis, long nowMillis) {
        return release(caller, ranMillis, ranMillis, nowMillis);
    }

    /**
     * Takes the end of a call whose usual running time is known.
     *
     * @param caller whose call it was
     * @param ranMillis how long it ran, in milliseconds
     * @param slowness how long that is beside what is usual for such a call
     * @param nowMillis present time
     * @return the calls that run now
     */
    public List<C> release(Caller caller, double ranMillis, double slowness, long nowMillis) {
        running--;
        WaitingCalls<C> source = sources.get(caller.source());
        source.ended(ranMillis, serviceMillis);
        forgetIdle(caller.source(), source);
        serviceMillis += SMOOTHING * (ranMillis - serviceMillis);
        quickestMillis = Math.min(ranMillis, quickestMillis + QUICKEST_DRIFT * ranMillis);
        limit.ended(slowness, nowMillis);
        List<C> started = List.of();
        while (waiting > 0 && running < limit.calls()) {
            WaitingCalls.Waiting<C> next = takeNext(nowMillis);
            if (next.latestStartMillis() < nowMillis) {
                refused.add(new RefusedCall<>(next.call(), refusal(LATE)));
            } else {
                started = with(started, next.call());
            }
        }
        return started;
    }

    /**
     * Takes out the calls that can no longer start in time, and all others refused so far; none of
     * them has run.
     *
     * @param nowMillis present time
     * @return the calls to refuse
     */
    public List<RefusedCall<C>> expire(long nowMillis) {
        Iterator<WaitingCalls<C>> all = sources.values().iterator();
        while (all.hasNext()) {
            WaitingCalls<C> source = all.next();
            int before = source.waiting();
            source.expire(nowMillis, call -> refused.add(new RefusedCall<>(call, refusal(LATE))));
            waiting -= before - source.waiting();
            if (source.isIdle()) {
                all.remove();
            }
        }
        return takeRefused();
    }

    /**
     * Takes out the calls that were refused since the last time; none of them has run.
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
        return waiting;
    }

    /**
     * Returns how many calls may run at once now.
     *
     * @return at least 1, at most the slots
     */
    public int limit() {
        return limit.calls();
    }

    /**
     * Returns how many sources have calls here.
     *
     * @return sources that cost memory
     */
    public int sources() {
        return sources.size();
    }

    /**
     * Refuses all that wait, as where the target goes.
     *
     * @param reason why
     * @return the calls
     */
    public List<RefusedCall<C>> empty(String reason) {
        for (WaitingCalls<C> source : sources.values()) {
            source.expire(
                    Long.MAX_VALUE, call -> refused.add(new RefusedCall<>(call, refusal(reason))));
        }
        sources.values().removeIf(WaitingCalls::isIdle);
        waiting = 0;
        return takeRefused();
    }

    private WaitingCalls<C> source(String name) {
        return sources.computeIfAbsent(name, absent -> new WaitingCalls<>());
    }

    private void start(WaitingCalls<C> source) {
        running++;
        source.started(virtualTime, serviceMillis);
    }

    private WaitingCalls.Waiting<C> takeNext(long nowMillis) {
        String name = "";
        WaitingCalls<C> next = null;
        for (Map.Entry<String, WaitingCalls<C>> entry : sources.entrySet()) {
            WaitingCalls<C> source = entry.getValue();
            if (source.waiting() > 0 && (next == null || source.tag() < next.tag())) {
                name = entry.getKey();
                next = source;
            }
        }
        WaitingCalls.Waiting<C> call = next.takeNext();
        waiting--;
        if (call.latestStartMillis() < nowMillis) {
            forgetIdle(name, next);
        } else {
            virtualTime = Math.max(virtualTime, next.tag());
            start(next);
        }
        return call;
    }

    /** Estimates the wait by the turns that come before this caller's. */
    private double expectedWait(Caller caller) {
        WaitingCalls<C> source = sources.get(caller.source());
        int ahead = 0;
        if (source != null) {
            int turns = (source.waiting(caller.name()) + 1) * Math.max(1, source.names());
            ahead = Math.min(source.waiting(), turns);
        }
        int position = Math.min(waiting, (ahead + 1) * sources.size());
        return serviceMillis * (position + 1) / limit.calls();
    }

    /** Makes room by refusing the newest call of whoever waits with more calls than the caller. */
    private boolean displace(Caller caller) {
        WaitingCalls<C> own = sources.get(caller.source());
        WaitingCalls<C> longest = longest(sources.values());
        int ownWaiting = own == null ? 0 : own.waiting();
        if (ownWaiting + 1 < longest.waiting()) {
            refuseNewest(longest);
            return true;
        }
        if (own != null && own.waiting(caller.name()) + 1 < own.longest()) {
            refuseNewest(own);
            return true;
        }
        return false;
    }

    private void refuseNewest(WaitingCalls<C> source) {
        refused.add(new RefusedCall<>(source.takeNewestOfLongest(), refusal(FULL)));
        waiting--;
    }

    private static <C> WaitingCalls<C> longest(Collection<WaitingCalls<C>> sources) {
        WaitingCalls<C> longest = sources.iterator().next();
        for (WaitingCalls<C> source : sources) {
            if (source.waiting() > longest.waiting()) {
                longest = source;
            }
        }
        return longest;
    }

    private void forgetIdle(String name, WaitingCalls<C> source) {
        if (source.isIdle()) {
            sources.remove(name);
        }
    }

    private AdmissionOutcome.Refused refusal(String reason) {
        long millis = Math.round(serviceMillis * (waiting + 1) / limit.calls());
        return new AdmissionOutcome.Refused(reason, Math.max(1, millis));
    }

    private static <C> List<C> with(List<C> started, C call) {
        if (started.isEmpty()) {
            return List.of(call);
        }
        List<C> more = new ArrayList<>(started);
        more.add(call);
        return more;
    }
}
