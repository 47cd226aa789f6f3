package org.cuminreach.trial.balancing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.cuminreach.decisions.admission.AdmissionOutcome;
import org.cuminreach.decisions.admission.Caller;
import org.cuminreach.decisions.admission.FairQueue;
import org.cuminreach.decisions.admission.RefusedCall;
import org.cuminreach.decisions.routing.LoadReport;
import org.cuminreach.decisions.routing.TargetCallResult;

/** A target of the queueing model, including the admission control of its node. */
final class ModelTarget {
    private static final double FIXED_MILLIS = 2.5;
    private static final double VARIED_MILLIS = 2.5;
    private static final double FAST_FAILURE_MILLIS = 0.2;
    private static final long REPORT_LAG_MILLIS = 1_000;
    private static final double COLD_FACTOR = 4;
    private static final double WARM_UP_MILLIS = 8_000;

    /** A call that waits or runs at the target. */
    private record Arrival(Caller caller, double workMillis, Consumer<TargetCallResult> done) {}

    /** A load report and the time at which it was made. */
    private record TimestampedReport(long atMillis, LoadReport report) {}

    private final String name;
    private final String dataCentre;
    private final int slots;
    private final SimulatedClock clock;
    private final RandomGenerator random;
    private final FairQueue<Arrival> queue;
    private final Deque<TimestampedReport> reports = new ArrayDeque<>();
    private TargetFault fault = TargetFault.NONE;
    private long faultStartMillis;

    ModelTarget(
            String name,
            String dataCentre,
            int slots,
            SimulatedClock clock,
            RandomGenerator random) {
        this.name = name;
        this.dataCentre = dataCentre;
        this.slots = slots;
        this.clock = clock;
        this.random = random;
        this.queue = FairQueue.ofSlots(slots);
    }

    String name() {
        return name;
    }

    String dataCentre() {
        return dataCentre;
    }

    int slots() {
        return slots;
    }

    TargetFault fault() {
        return fault;
    }

    void setFault(TargetFault next) {
        fault = next;
        faultStartMillis = clock.nowMillis();
    }

    /** Admits, queues or refuses a call; calls back exactly once, immediately or later. */
    void arrive(Caller caller, long deadlineMillis, Consumer<TargetCallResult> done) {
        double workMillis = FIXED_MILLIS - VARIED_MILLIS * Math.log(1 - random.nextDouble());
        Arrival arrival = new Arrival(caller, workMillis, done);
        AdmissionOutcome outcome = queue.offer(arrival, caller, deadlineMillis, clock.nowMillis());
        refuse(queue.takeRefused());
        switch (outcome) {
            case AdmissionOutcome.Run run -> run(arrival);
            case AdmissionOutcome.Queued queued -> {
                return;
            }
            case AdmissionOutcome.Refused refused -> done.accept(TargetCallResult.SHED);
        }
    }

    void onTimer() {
        refuse(queue.expire(clock.nowMillis()));
    }

    LoadReport report() {
        if (fault == TargetFault.MISLEADING_REPORTS) {
            return new LoadReport(0, 0, slots, false);
        }
        LoadReport current = new LoadReport(queue.running(), queue.waiting(), queue.limit(), false);
        if (fault != TargetFault.STALE_REPORTS) {
            return current;
        }
        reports.add(new TimestampedReport(clock.nowMillis(), current));
        while (reports.getFirst().atMillis() < clock.nowMillis() - REPORT_LAG_MILLIS) {
            reports.removeFirst();
        }
        return reports.getFirst().report();
    }

    private void run(Arrival arrival) {
        double millis = arrival.workMillis() * slowdownFactor();
        boolean fails = fault == TargetFault.FAILING_FAST;
        clock.schedule(fails ? FAST_FAILURE_MILLIS : millis, () -> end(arrival, millis, fails));
    }

    private void end(Arrival arrival, double millis, boolean fails) {
        List<Arrival> next = queue.release(arrival.caller(), millis, clock.nowMillis());
        refuse(queue.takeRefused());
        next.forEach(this::run);
        if (fault == TargetFault.DEAD || fault == TargetFault.UNRESPONSIVE) {
            arrival.done().accept(TargetCallResult.LOST);
        } else {
            arrival.done().accept(fails ? TargetCallResult.FAILED : TargetCallResult.SUCCEEDED);
        }
    }

    private void refuse(List<RefusedCall<Arrival>> refused) {
        refused.forEach(call -> call.call().done().accept(TargetCallResult.SHED));
    }

    private double slowdownFactor() {
        double faultAgeMillis = clock.nowMillis() - (double) faultStartMillis;
        return switch (fault) {
            case SLOW -> 5;
            case COLD -> 1 + (COLD_FACTOR - 1) * Math.max(0, 1 - faultAgeMillis / WARM_UP_MILLIS);
            case THRASHING -> {
                double excess = Math.max(0, queue.running() - slots / 2.0);
                yield 1 + excess * excess / slots;
            }
            default -> 1;
        };
    }
}
