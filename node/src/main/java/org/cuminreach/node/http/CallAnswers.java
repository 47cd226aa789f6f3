package org.cuminreach.node.http;

import java.util.Optional;
import org.cuminreach.decisions.retry.AttemptOutcome;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.runtime.http.HttpCall;

/** Converts call outcomes to HTTP answers and back. */
public final class CallAnswers {
    private static final String TIMEOUT = "timeout";
    private static final int MIN_FAILURE_STATUS = 500;
    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final String JSON = "application/json";
    private static final int MILLIS_PER_SECOND = 1_000;
    private static final long BUSY_LINK_RETRY_MILLIS = 1_000;
    private static final long MAX_RETRY_AFTER_MILLIS = 3_600_000;

    private CallAnswers() {}

    /**
     * Tells whether the status of a target's answer is a failure.
     *
     * @param status HTTP status of the answer
     * @return true for 500 and above
     */
    public static boolean isFailure(int status) {
        return status >= MIN_FAILURE_STATUS;
    }

    /**
     * Returns the outcome of an attempt. Only a node may report that a call has not run, or that an
     * answer is its target's; after any other answer the call may have run.
     *
     * @param sent result of sending it to the target's node
     * @return the outcome
     */
    public static AttemptOutcome outcome(SendOutcome sent) {
        return switch (sent) {
            case SendOutcome.NotSent notSent ->
                    new AttemptOutcome.NotRun(notSent.reason(), 0, false);
            case SendOutcome.BodyNotSent notSent ->
                    new AttemptOutcome.NotRun(notSent.reason(), BUSY_LINK_RETRY_MILLIS, false);
            case SendOutcome.Refused refused ->
                    new AttemptOutcome.NotRun(refused.reason(), refused.retryAfterMillis());
            case SendOutcome.Lost lost -> new AttemptOutcome.MayHaveRun(lost.reason());
            case SendOutcome.Completed completed -> outcome(completed.answer());
        };
    }

    /**
     * Returns the answer of a call that has not run.
     *
     * @param status HTTP status
     * @param reason reason code
     * @param retryAfterMillis time after which to retry, in milliseconds
     * @return the answer
     */
    public static HttpAnswer notRun(int status, String reason, Optional<Long> retryAfterMillis) {
        HttpAnswer answer = failure(status, MeshHeaders.NOT_RUN, reason);
        retryAfterMillis.ifPresent(
                millis ->
                        answer.setHeader("Retry-After", toSeconds(millis))
                                .setHeader(MeshHeaders.RETRY_AFTER_MILLIS, millis));
        return answer;
    }

    /**
     * Returns the answer of a target's node after it sent a call to its target.
     *
     * @param sent result of sending it
     * @return the answer for the node that sent the call
     */
    public static HttpAnswer fromTarget(SendOutcome sent) {
        return switch (sent) {
            case SendOutcome.Completed completed ->
                    new HttpAnswer(
                                    completed.answer().status(),
                                    MeshHeaders.fromTarget(completed.answer().headers()),
                                    completed.answer().body())
                            .setHeader(MeshHeaders.OUTCOME, MeshHeaders.ANSWERED);
            case SendOutcome.NotSent notSent -> notRun(503, notSent.reason(), Optional.of(1L));
            case SendOutcome.BodyNotSent notSent ->
                    notRun(503, notSent.reason(), Optional.of(BUSY_LINK_RETRY_MILLIS));
            case SendOutcome.Refused refused ->
                    notRun(503, refused.reason(), Optional.of(refused.retryAfterMillis()))
                            .setHeader(MeshHeaders.REACHED_TARGET, "true");
            case SendOutcome.Lost lost -> mayHaveRun(lost.reason());
        };
    }

    /**
     * Returns the answer of a call that may have run.
     *
     * @param reason reason code
     * @return the answer
     */
    public static HttpAnswer mayHaveRun(String reason) {
        return failure(
                reason.equals(TIMEOUT) ? GATEWAY_TIMEOUT : BAD_GATEWAY,
                MeshHeaders.MAY_HAVE_RUN,
                reason);
    }

    /**
     * Reads a non-negative integer from a header.
     *
     * @param call the call
     * @param header name of the header
     * @param defaultValue value when the header is absent or not a non-negative integer
     * @return the value
     */
    public static int intHeader(HttpCall call, String header, int defaultValue) {
        String text = call.header(header, "");
        if (text.isEmpty()) {
            return defaultValue;
        }
        try {
            int value = Integer.parseInt(text);
            return value < 0 ? defaultValue : value;
        } catch (NumberFormatException malformed) {
            return defaultValue;
        }
    }

    /**
     * Adds the mesh headers of a call to the answer of its target.
     *
     * @param answer the answer of the target
     * @param requestId request ID of the call
     * @param configuration version of the configuration that routed it
     * @param version version of the target
     * @return the answer for the caller
     */
    public static HttpAnswer answered(
            HttpAnswer answer, String requestId, long configuration, String version) {
        return new HttpAnswer(
                        answer.status(), MeshHeaders.endToEnd(answer.headers()), answer.body())
                .setHeader(MeshHeaders.OUTCOME, MeshHeaders.ANSWERED)
                .setHeader(MeshHeaders.REQUEST_ID, requestId)
                .setHeader(MeshHeaders.CONFIGURATION, configuration)
                .setHeader(MeshHeaders.TARGET_VERSION, version);
    }

    /**
     * Returns the final answer of a call that no target answered.
     *
     * @param outcome final outcome of the call
     * @param requestId request ID of the call
     * @return the answer for the caller
     * @throws IllegalStateException if a target answered
     */
    public static HttpAnswer finalFailure(AttemptOutcome outcome, String requestId) {
        HttpAnswer answer =
                switch (outcome) {
                    case AttemptOutcome.NotRun notRun ->
                            notRun(503, notRun.reason(), Optional.of(notRun.retryAfterMillis()));
                    case AttemptOutcome.MayHaveRun mayHaveRun -> mayHaveRun(mayHaveRun.reason());
                    case AttemptOutcome.Answered answered ->
                            throw new IllegalStateException("a target answered the call");
                };
        return answer.setHeader(MeshHeaders.REQUEST_ID, requestId);
    }

    private static AttemptOutcome outcome(HttpAnswer answer) {
        String outcome = answer.headers().get(MeshHeaders.OUTCOME);
        return switch (outcome) {
            case MeshHeaders.NOT_RUN ->
                    new AttemptOutcome.NotRun(
                            "refused_by_target_node",
                            retryAfterMillis(answer),
                            answer.headers().contains(MeshHeaders.REACHED_TARGET));
            case MeshHeaders.ANSWERED -> new AttemptOutcome.Answered(answer.status());
            case null, default ->
                    new AttemptOutcome.MayHaveRun(
                            answer.status() == GATEWAY_TIMEOUT
                                    ? TIMEOUT
                                    : answer.headers()
                                            .get(MeshHeaders.REASON, "lost_at_target_node"));
        };
    }

    private static HttpAnswer failure(int status, String outcome, String reason) {
        String body = "{\"outcome\":\"" + outcome + "\",\"reason\":\"" + reason + "\"}\n";
        return HttpAnswer.of(status, JSON, body)
                .setHeader(MeshHeaders.OUTCOME, outcome)
                .setHeader(MeshHeaders.REASON, reason);
    }

    private static long retryAfterMillis(HttpAnswer answer) {
        String text = answer.headers().get(MeshHeaders.RETRY_AFTER_MILLIS, "");
        if (text.isEmpty()) {
            return 0;
        }
        try {
            long millis = Long.parseLong(text);
            return Math.clamp(millis, 0, MAX_RETRY_AFTER_MILLIS);
        } catch (NumberFormatException malformed) {
            return 0;
        }
    }

    private static long toSeconds(long millis) {
        return Math.max(1, Math.ceilDiv(millis, MILLIS_PER_SECOND));
    }
}
