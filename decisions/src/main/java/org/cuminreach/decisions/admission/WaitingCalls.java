package org.cuminreach.decisions.admission;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Consumer;

/**
 * Waiting calls of a target in bands, the most urgent first: two bands for each priority, late
 * calls in the second. Not thread-safe.
 */
final class WaitingCalls<C> {
    /** Time after the last arrival in a band during which more are expected, in milliseconds. */
    private static final long RECENT_ARRIVAL_MILLIS = 1_000;

    /**
     * Calls that are served before another one.
     *
     * @param runMillis their total running time, in milliseconds
     * @param calls their number
     */
    record Ahead(double runMillis, int calls) {
        private Ahead plus(double moreRunMillis, int moreCalls) {
            return new Ahead(runMillis + moreRunMillis, calls + moreCalls);
        }
    }

    private final List<PriorityBand<C>> bands = new ArrayList<>();
    private final long[] lastArrivalMillis = new long[2 * AdmissionRequest.PRIORITIES];

    WaitingCalls() {
        for (int band = 0; band < 2 * AdmissionRequest.PRIORITIES; band++) {
            bands.add(new PriorityBand<>());
        }
        Arrays.fill(lastArrivalMillis, -RECENT_ARRIVAL_MILLIS);
    }

    PriorityBand<C> band(int index) {
        return bands.get(index);
    }

    void recordArrival(AdmissionRequest request, long nowMillis) {
        lastArrivalMillis[request.band()] = nowMillis;
    }

    int size() {
        int size = 0;
        for (PriorityBand<C> band : bands) {
            size += band.waiting();
        }
        return size;
    }

    /** Returns the number of sources with calls here, counted once for each band. */
    int sources() {
        int sources = 0;
        for (PriorityBand<C> band : bands) {
            sources += band.sources();
        }
        return sources;
    }

    /** Returns the index of the most urgent band with waiting calls. */
    OptionalInt mostUrgentBand() {
        for (int band = 0; band < bands.size(); band++) {
            if (bands.get(band).waiting() > 0) {
                return OptionalInt.of(band);
            }
        }
        return OptionalInt.empty();
    }

    /** Tells whether calls wait in the band of a call or in a more urgent one. */
    boolean hasCallsAhead(AdmissionRequest request) {
        OptionalInt mostUrgent = mostUrgentBand();
        return mostUrgent.isPresent() && mostUrgent.getAsInt() <= request.band();
    }

    /**
     * Tells whether less urgent calls have arrived lately. A call that is served before them may
     * wait beyond its objective, as its wait costs no call of its own band a slot.
     */
    boolean hasLessUrgentCalls(AdmissionRequest request, long nowMillis) {
        for (int band = request.band() + 1; band < bands.size(); band++) {
            if (nowMillis - lastArrivalMillis[band] < RECENT_ARRIVAL_MILLIS) {
                return true;
            }
        }
        return false;
    }

    /** Estimates the calls that are served before a new call. */
    Ahead ahead(AdmissionRequest request) {
        Ahead ahead = new Ahead(0, 0);
        for (int band = 0; band < request.band(); band++) {
            ahead = ahead.plus(bands.get(band).waitingRunMillis(), bands.get(band).waiting());
        }
        PriorityBand<C> own = bands.get(request.band());
        int ownCalls = own.callsAhead(request.caller());
        return ahead.plus(own.runMillis(ownCalls), ownCalls);
    }

    /** Returns the calls ahead of a new one of a caller without calls here, by its priority. */
    List<Ahead> aheadByPriority() {
        List<Ahead> all = new ArrayList<>();
        Ahead ahead = new Ahead(0, 0);
        for (int priority = 0; priority < AdmissionRequest.PRIORITIES; priority++) {
            PriorityBand<C> onTime = bands.get(2 * priority);
            PriorityBand<C> late = bands.get(2 * priority + 1);
            ahead = ahead.plus(onTime.waitingRunMillis(), onTime.waiting());
            all.add(ahead);
            ahead = ahead.plus(late.waitingRunMillis(), late.waiting());
        }
        return all;
    }

    /** Removes the newest call of the least urgent lower band, or of a longer queue in its band. */
    Optional<SourceQueue.QueuedCall<C>> removeDisplacedBy(AdmissionRequest request) {
        for (int band = bands.size() - 1; band > request.band(); band--) {
            if (bands.get(band).waiting() > 0) {
                return Optional.of(bands.get(band).removeNewestOfLongestQueue());
            }
        }
        return bands.get(request.band()).removeNewestOfLongerQueue(request.caller());
    }

    /** Removes the calls that can no longer start in time. */
    void expire(long nowMillis, Consumer<C> expired) {
        bands.forEach(band -> band.expire(nowMillis, expired));
    }
}
