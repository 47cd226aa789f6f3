package org.cuminreach.node.caller;

import java.util.Optional;
import org.cuminreach.decisions.admission.AdmissionRequest;
import org.cuminreach.decisions.admission.RunTimes;
import org.cuminreach.decisions.retry.AttemptOutcome;
import org.cuminreach.decisions.routing.CallRequirements;
import org.cuminreach.decisions.routing.CallSizes;
import org.cuminreach.decisions.routing.LoadReport;
import org.cuminreach.node.http.CallAnswers;
import org.cuminreach.node.http.SendOutcome;

/**
 * Typical running time and transferred bytes of the calls of each route, measured from this node's
 * own calls. Thread-safe.
 */
final class RouteStatistics {
    private static final double MICROS_PER_MILLI = 1_000;

    /** Share of the typical running time below which hardly any call ends. */
    private static final double MIN_RUN_SHARE = 0.5;

    private final RunTimes runTimes = RunTimes.empty();
    private final CallSizes sizes = CallSizes.empty();

    /**
     * Records an attempt and returns its running time relative to what is typical for its route. A
     * failure may end long before a success would, so it does not count as typical. Uses the
     * running time that the target's node reports; without a report the wait at that node is
     * included.
     */
    synchronized double record(
            CallAttempts attempts,
            SendOutcome sent,
            Optional<LoadReport> report,
            long elapsedMicros) {
        double runMillis =
                report.filter(load -> load.runMillis() > 0)
                        .map(load -> (double) load.runMillis())
                        .orElse(elapsedMicros / MICROS_PER_MILLI);
        String route = attempts.route().name();
        if (sent instanceof SendOutcome.Completed completed
                && CallAnswers.outcome(sent) instanceof AttemptOutcome.Answered answered
                && !CallAnswers.isFailure(answered.status())) {
            runTimes.record(route, runMillis);
            sizes.record(
                    route, attempts.call().body().length + (long) completed.answer().body().length);
        }
        return runTimes.slowness(route, runMillis);
    }

    /**
     * Tells whether a call has time for an attempt. One that was sent before and whose deadline can
     * hardly be met leaves with the outcome of its earlier attempts; an attempt that ends with the
     * deadline would hide that it has not run.
     */
    synchronized boolean hasTimeToRun(CallAttempts attempts, long nowMillis) {
        double runMillis = runTimes.typicalRunMillis(attempts.route().name());
        return attempts.triedNodes().isEmpty()
                || attempts.remainingMillis(nowMillis) > MIN_RUN_SHARE * runMillis;
    }

    /** Returns the requirements of a call for the choice of its target. */
    synchronized CallRequirements requirements(CallAttempts attempts, long nowMillis) {
        double runMillis = runTimes.typicalRunMillis(attempts.route().name());
        double slackMillis =
                attempts.remainingObjectiveMillis(nowMillis)
                        - AdmissionRequest.RUN_TIME_MARGIN_FACTOR * runMillis;
        return new CallRequirements(
                attempts.idempotent(),
                attempts.route().priority(),
                runMillis,
                slackMillis,
                sizes.relativeSize(attempts.route().name()));
    }
}
