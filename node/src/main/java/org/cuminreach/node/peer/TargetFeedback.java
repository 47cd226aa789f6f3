package org.cuminreach.node.peer;

import java.util.Optional;
import java.util.Set;
import org.cuminreach.decisions.routing.LoadReport;
import org.cuminreach.decisions.routing.TargetCallResult;
import org.cuminreach.decisions.routing.TargetView;
import org.cuminreach.node.http.CallAnswers;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.http.SendOutcome;
import org.cuminreach.runtime.http.HttpAnswer;

/** Reads from what came of a call what its sender learns of the target. */
public final class TargetFeedback {
    /** Refusals that tell that the target is not there any more. */
    private static final Set<String> TARGET_GONE_REASONS =
            Set.of(MeshHeaders.OTHER_NODE, MeshHeaders.OTHER_TARGET, MeshHeaders.NO_TARGET);

    private TargetFeedback() {}

    /**
     * Takes the load report out of an answer.
     *
     * @param sent what came of the call
     * @return the report, or empty when none came
     */
    public static Optional<LoadReport> removeLoadReport(SendOutcome sent) {
        if (!(sent instanceof SendOutcome.Whole whole)) {
            return Optional.empty();
        }
        String text = whole.answer().headers().get(MeshHeaders.LOAD);
        whole.answer().headers().remove(MeshHeaders.LOAD);
        return text == null ? Optional.empty() : LoadReport.parse(text);
    }

    /**
     * Notes what a call to a target met.
     *
     * @param target the target
     * @param sent what came of the call
     * @param report the load report that came with it
     * @param slowness how long it took beside what is usual on its route
     * @param nowMillis present time
     */
    public static void record(
            TargetView target,
            SendOutcome sent,
            Optional<LoadReport> report,
            double slowness,
            long nowMillis) {
        target.statistics().recordResult(result(sent), slowness, nowMillis);
        report.ifPresent(load -> target.statistics().recordLoadReport(load, nowMillis));
    }

    private static TargetCallResult result(SendOutcome sent) {
        return switch (sent) {
            case SendOutcome.NeverSent never -> TargetCallResult.UNREACHABLE;
            case SendOutcome.Refused refused -> TargetCallResult.SHED;
            case SendOutcome.Lost lost -> TargetCallResult.LOST;
            case SendOutcome.Whole whole -> result(whole.answer());
        };
    }

    private static TargetCallResult result(HttpAnswer answer) {
        String outcome = answer.headers().get(MeshHeaders.OUTCOME);
        if (MeshHeaders.NOT_RUN.equals(outcome)) {
            boolean gone =
                    TARGET_GONE_REASONS.contains(answer.headers().get(MeshHeaders.REASON, ""));
            return gone ? TargetCallResult.UNREACHABLE : TargetCallResult.SHED;
        }
        return CallAnswers.isFailure(answer.status())
                ? TargetCallResult.FAILED
                : TargetCallResult.SUCCEEDED;
    }
}
