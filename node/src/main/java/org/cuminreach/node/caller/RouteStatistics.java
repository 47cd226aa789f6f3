package org.cuminreach.node.caller;

import java.util.Optional;
import org.cuminreach.decisions.admission.Demand;
import org.cuminreach.decisions.admission.ServiceTimes;
import org.cuminreach.decisions.retry.AttemptOutcome;
import org.cuminreach.decisions.routing.CallNeed;
import org.cuminreach.decisions.routing.CallSizes;
import org.cuminreach.decisions.routing.LoadReport;
import org.cuminreach.node.http.CallAnswers;
import org.cuminreach.node.http.SendOutcome;

/**
 * How long the calls of each route usually run at their targets and how many bytes they move, as
 * this node's own calls have shown. Safe for use by several threads.
 */
final class RouteStatistics {
    private static final double MICROS_PER_MILLI = 1_000;

    private final ServiceTimes times = ServiceTimes.unknown();
    private final CallSizes sizes = CallSizes.unknown();

    /**
     * Notes an attempt; returns how long it took beside what is usual on its route. The wait at the
     * target's node counts only where that node does not tell how long the call ran.
     */
    synchronized double record(
            CallAttempts attempts, SendOutcome sent, Optional<LoadReport> report, long tookMicros) {
        double ran =
                report.filter(load -> load.ranMillis() > 0)
                        .map(load -> (double) load.ranMillis())
                        .orElse(tookMicros / MICROS_PER_MILLI);
        String route = attempts.route().name();
        if (sent instanceof SendOutcome.Completed whole
                && CallAnswers.outcome(sent) instanceof AttemptOutcome.Answered) {
            times.note(route, ran);
            sizes.note(route, attempts.call().body().length + (long) whole.answer().body().length);
        }
        return times.slowness(route, ran);
    }

    /** Returns what a call needs of a target now. */
    synchronized CallNeed requirements(CallAttempts attempts, long nowMillis) {
        double runMillis = times.usualMillis(attempts.route().name());
        double spare = attempts.remainingObjectiveMillis(nowMillis) - Demand.SET_ASIDE * runMillis;
        return new CallNeed(
                attempts.idempotent(),
                attempts.route().priority(),
                runMillis,
                spare,
                sizes.weight(attempts.route().name()));
    }
}
