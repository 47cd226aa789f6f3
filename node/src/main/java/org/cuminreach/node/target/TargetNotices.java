package org.cuminreach.node.target;

import java.util.List;
import java.util.Optional;
import org.cuminreach.decisions.admission.FairQueue;
import org.cuminreach.decisions.routing.CallRateLimit;
import org.cuminreach.decisions.routing.LoadReport;
import org.cuminreach.decisions.routing.WorkPace;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.runtime.http.HttpAnswer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The latest notice of the target next to the node, and the calls that were sent to it while it
 * states a limit. A new start of the target begins without a notice. Thread-safe.
 */
final class TargetNotices {
    private static final Logger LOGGER = LoggerFactory.getLogger(TargetNotices.class);
    private static final long REPORT_INTERVAL_MILLIS = 1_000;

    private final ColdTarget coldTarget;
    private String instance = "";
    private CallRateLimit limit = CallRateLimit.unlimited();
    private boolean leaving;
    private boolean hasAnswered;
    private final TargetPace pace = new TargetPace();
    private int sentSinceReport;
    private long reportedMillis;

    TargetNotices(ColdTarget coldTarget) {
        this.coldTarget = coldTarget;
    }

    /**
     * Records the notice in an answer.
     *
     * @param answeringInstance start of the target that answered
     * @param notice the notice
     * @param nowMillis current time
     * @return whether it states for the first time that this start is about to stop
     */
    synchronized boolean record(String answeringInstance, TargetNotice notice, long nowMillis) {
        resetForNewStart(answeringInstance);
        hasAnswered = true;
        pace.record(instance, notice.load(), nowMillis);
        switch (notice.limit()) {
            case CallRateLimit.Unreadable unreadable ->
                    LOGGER.warn(
                            "event=target_limit_invalid instance={} text=\"{}\""
                                    + " limit_per_second={}",
                            instance,
                            unreadable.text(),
                            limit.text());
            case CallRateLimit.Unlimited none -> setLimit(none, "answer");
            case CallRateLimit.PerSecond stated -> setLimit(stated, "answer");
        }
        boolean isFirstLeaving = notice.leaving() && !leaving;
        leaving = notice.leaving();
        if (isFirstLeaving) {
            LOGGER.info("event=target_leaving instance={}", instance);
        }
        return isFirstLeaving;
    }

    /**
     * Adopts the limit that the sender of a call last heard of, unless the target has answered this
     * process. Of several limits the lowest is adopted.
     *
     * @param addressedInstance start of the target that the call is for
     * @param known the limit
     */
    synchronized void adoptLimit(String addressedInstance, CallRateLimit known) {
        resetForNewStart(addressedInstance);
        if (!hasAnswered
                && known instanceof CallRateLimit.PerSecond stated
                && !(limit instanceof CallRateLimit.PerSecond current
                        && current.callsPerSecond() <= stated.callsPerSecond())) {
            setLimit(stated, "caller");
        }
    }

    /**
     * Records that a call was sent to the target.
     *
     * @param receivingInstance start of the target that it was sent to
     * @param nowMillis current time
     */
    synchronized void recordSent(String receivingInstance, long nowMillis) {
        resetForNewStart(receivingInstance);
        sentSinceReport++;
        long elapsedMillis = nowMillis - reportedMillis;
        if (elapsedMillis < REPORT_INTERVAL_MILLIS) {
            return;
        }
        if (limit instanceof CallRateLimit.PerSecond) {
            LOGGER.info(
                    "event=target_limited instance={} limit_per_second={} sent={} elapsed_ms={}",
                    instance,
                    limit.text(),
                    sentSinceReport,
                    elapsedMillis);
        }
        sentSinceReport = 0;
        reportedMillis = nowMillis;
    }

    /** Returns the limit that a start of the target states. */
    synchronized CallRateLimit limit(String currentInstance) {
        resetForNewStart(currentInstance);
        return limit;
    }

    /**
     * Adds the notice to the answer to a call.
     *
     * @param answer the answer
     * @param addressedInstance start of the target that the call is for, or empty for any
     * @return the same answer; unchanged when the call is for another start
     */
    synchronized HttpAnswer addTo(HttpAnswer answer, String addressedInstance) {
        if (!addressedInstance.isEmpty() && !addressedInstance.equals(instance)) {
            return answer;
        }
        if (limit instanceof CallRateLimit.PerSecond) {
            answer.setHeader(MeshHeaders.TARGET_LIMIT, limit.text());
        }
        if (leaving) {
            answer.setHeader(MeshHeaders.TARGET_LEAVING, "true");
        }
        coldTarget.addTo(answer, ProcessClock.monotonicMillis());
        return answer;
    }

    /** Returns the time that work takes on the target's VM, or empty without a recent statement. */
    synchronized Optional<WorkPace> pace(long nowMillis) {
        return pace.at(nowMillis);
    }

    /** Returns the load of the target, as its queue and its latest statement tell it. */
    LoadReport report(FairQueue<?> queue, boolean draining, int runMillis, long nowMillis) {
        return new LoadReport(
                queue.running(),
                queue.waiting(),
                queue.limit(),
                draining,
                runMillis,
                queue.hasWaits(nowMillis) ? queue.expectedWaitsMillis(nowMillis) : List.of(),
                pace(nowMillis));
    }

    /** Returns the stated limit in calls per second, or 0 when there is none. */
    synchronized double limitPerSecond() {
        return limit instanceof CallRateLimit.PerSecond stated ? stated.callsPerSecond() : 0;
    }

    private void resetForNewStart(String currentInstance) {
        if (!currentInstance.equals(instance)) {
            instance = currentInstance;
            limit = CallRateLimit.unlimited();
            leaving = false;
            hasAnswered = false;
            pace.reset();
        }
    }

    private void setLimit(CallRateLimit stated, String source) {
        if (!stated.equals(limit)) {
            LOGGER.info(
                    "event=target_limit_changed instance={} limit_per_second={} previous={}"
                            + " source={}",
                    instance,
                    stated.text(),
                    limit.text(),
                    source);
            limit = stated;
        }
    }
}
