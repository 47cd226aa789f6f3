package org.cuminreach.node.caller;

import java.util.concurrent.CompletableFuture;
import org.cuminreach.decisions.retry.AttemptOutcome;
import org.cuminreach.node.http.CallAnswers;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.runtime.http.HttpAnswer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Answers of calls for which there is no further attempt. */
final class FinalAnswers {
    private static final Logger LOGGER = LoggerFactory.getLogger(FinalAnswers.class);

    private FinalAnswers() {}

    /** Returns the answer of a call that no target answered, and logs why. */
    static HttpAnswer giveUp(CallAttempts attempts, AttemptOutcome outcome) {
        LOGGER.info(
                "event=call_given_up request={} configuration={} route={} attempts={} outcome={}"
                        + " caller_left={}",
                attempts.requestId(),
                attempts.configurationVersion(),
                attempts.route().name(),
                attempts.attempts(),
                outcome,
                attempts.hasCallerLeft());
        return CallAnswers.finalFailure(outcome, attempts.requestId());
    }

    /** Logs the end of a call that had a second attempt, with the answer that its caller gets. */
    static CompletableFuture<HttpAnswer> logIfHedged(
            CallAttempts attempts, CompletableFuture<HttpAnswer> result) {
        return result.whenComplete(
                (answer, failure) -> {
                    if (attempts.isHedged() && answer != null) {
                        LOGGER.info(
                                "event=hedged_call_ended request={} status={} reason={}"
                                        + " caller_left={}",
                                attempts.requestId(),
                                answer.status(),
                                answer.headers().get(MeshHeaders.REASON, "answered"),
                                attempts.hasCallerLeft());
                    }
                });
    }

    /** Fails a call without another attempt; an earlier attempt may have run. */
    static CompletableFuture<HttpAnswer> refuse(
            CallAttempts attempts, String reason, long retryAfterMillis) {
        AttemptOutcome outcome =
                attempts.mayHaveRun()
                        ? new AttemptOutcome.MayHaveRun(reason)
                        : new AttemptOutcome.NotRun(reason, retryAfterMillis);
        return CompletableFuture.completedFuture(giveUp(attempts, outcome));
    }
}
