package org.cuminreach.node.peer;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.Set;
import org.cuminreach.decisions.admission.TransferQueue;
import org.cuminreach.decisions.routing.CallRateLimit;
import org.cuminreach.decisions.routing.ColdNotice;
import org.cuminreach.decisions.routing.LoadReport;
import org.cuminreach.decisions.routing.TargetCallResult;
import org.cuminreach.decisions.routing.TargetView;
import org.cuminreach.decisions.routing.WorkPace;
import org.cuminreach.node.http.CallAnswers;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.http.SendOutcome;
import org.cuminreach.runtime.http.HttpAnswer;

/** Updates the statistics of a target from the outcomes of calls to it. */
public final class TargetFeedback {
    /** Reasons for refusal which show that the target no longer exists at its node. */
    private static final Set<String> TARGET_GONE_REASONS =
            Set.of(MeshHeaders.OTHER_NODE, MeshHeaders.OTHER_TARGET, MeshHeaders.NO_TARGET);

    private TargetFeedback() {}

    /**
     * Removes the load report from the headers of an answer.
     *
     * @param sent outcome of the call
     * @return the report, or empty when there is none
     */
    public static Optional<LoadReport> removeLoadReport(SendOutcome sent) {
        if (!(sent instanceof SendOutcome.Completed completed)) {
            return Optional.empty();
        }
        String text = completed.answer().headers().get(MeshHeaders.LOAD);
        completed.answer().headers().remove(MeshHeaders.LOAD);
        return text == null ? Optional.empty() : LoadReport.parse(text);
    }

    /**
     * Records the outcome of a call in the statistics of its target. The lasting slowness of the
     * target is what the pace of its VM at the moment does not explain.
     *
     * @param target the target
     * @param sent outcome of the call
     * @param report load report of the answer, if any
     * @param slowness ratio of the call's time to the typical time of its route
     * @param nowMillis current time
     */
    public static void record(
            TargetView target,
            SendOutcome sent,
            Optional<LoadReport> report,
            double slowness,
            long nowMillis) {
        TargetCallResult result = result(sent);
        if (sent instanceof SendOutcome.Completed completed) {
            HttpHeaders headers = completed.answer().headers();
            CallRateLimit limit = removeLimit(headers);
            Optional<ColdNotice> cold = ColdNotice.parse(headers.get(MeshHeaders.TARGET_COLD, ""));
            headers.remove(MeshHeaders.TARGET_COLD);
            boolean leaving = headers.contains(MeshHeaders.TARGET_LEAVING);
            headers.remove(MeshHeaders.TARGET_LEAVING);
            if (leaving) {
                target.recordLeaving(nowMillis);
            }
            if (report.isPresent() && result != TargetCallResult.UNREACHABLE) {
                target.statistics().recordRateLimit(limit);
                target.statistics().recordCold(cold, nowMillis);
            }
        }
        double pace = report.flatMap(LoadReport::pace).map(WorkPace::factor).orElse(1.0);
        target.statistics().recordResult(result, slowness / pace, nowMillis);
        report.ifPresent(load -> target.statistics().recordLoadReport(load, nowMillis));
    }

    private static CallRateLimit removeLimit(HttpHeaders headers) {
        String limit = headers.get(MeshHeaders.TARGET_LIMIT, "");
        headers.remove(MeshHeaders.TARGET_LIMIT);
        return CallRateLimit.parse(limit);
    }

    private static TargetCallResult result(SendOutcome sent) {
        return switch (sent) {
            case SendOutcome.NotSent notSent -> TargetCallResult.UNREACHABLE;
            case SendOutcome.Refused refused -> TargetCallResult.SHED;
            case SendOutcome.BodyNotSent notSent -> TargetCallResult.LOST;
            case SendOutcome.Lost lost -> TargetCallResult.LOST;
            case SendOutcome.Completed completed -> result(completed.answer());
        };
    }

    private static TargetCallResult result(HttpAnswer answer) {
        String outcome = answer.headers().get(MeshHeaders.OUTCOME);
        if (MeshHeaders.NOT_RUN.equals(outcome)) {
            String reason = answer.headers().get(MeshHeaders.REASON, "");
            if (reason.equals(TransferQueue.LINK_BUSY)) {
                return TargetCallResult.BODY_REFUSED;
            }
            return TARGET_GONE_REASONS.contains(reason)
                    ? TargetCallResult.UNREACHABLE
                    : TargetCallResult.SHED;
        }
        return CallAnswers.isFailure(answer.status())
                ? TargetCallResult.FAILED
                : TargetCallResult.SUCCEEDED;
    }
}
