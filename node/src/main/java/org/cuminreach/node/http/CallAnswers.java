package org.cuminreach.node.http;

import java.util.Optional;
import org.cuminreach.decisions.retry.AttemptOutcome;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.runtime.http.HttpCall;

/** Turns outcomes into HTTP answers and back. */
public final class CallAnswers {
    private static final String TIMEOUT = "timeout";
    private static final int LOWEST_FAILURE_STATUS = 500;
    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final String JSON = "application/json";
    private static final int MILLIS_PER_SECOND = 1_000;
    private static final long LONGEST_RETRY_AFTER_MILLIS = 3_600_000;

    private CallAnswers() {}

    /**
     * Tells whether a target says by a status that it failed.
     *
     * @param status status of its answer
     * @return true when it did
     */
    public static boolean isFailure(int status) {
        return status >= LOWEST_FAILURE_STATUS;
    }

    /**
     * Reads what came of an attempt. Only a node may say that a call has not run, or that an answer
     * is its target's; whatever else answers leaves open whether it ran.
     *
     * @param sent what came of sending it to the target's node
     * @return the outcome
     */
    public static AttemptOutcome outcome(SendOutcome sent) {
        return switch (sent) {
            case SendOutcome.NeverSent never -> new AttemptOutcome.NotRun(never.reason(), 0, false);
            case SendOutcome.Refused refused ->
                    new AttemptOutcome.NotRun(refused.reason(), refused.retryAfterMillis());
            case SendOutcome.Lost lost -> new AttemptOutcome.MayHaveRun(lost.reason());
            case SendOutcome.Whole whole -> outcome(whole.answer());
        };
    }

    /**
     * Returns the answer of a call that has not run.
     *
     * @param status HTTP status
     * @param reason why
     * @param retryAfterMillis time after which it is worth asking again, in milliseconds
     * @return the answer
     */
    public static HttpAnswer notRun(int status, String reason, Optional<Long> retryAfterMillis) {
        HttpAnswer answer = refusal(status, MeshHeaders.NOT_RUN, reason);
        retryAfterMillis.ifPresent(
                millis ->
                        answer.setHeader("Retry-After", seconds(millis))
                                .setHeader(MeshHeaders.RETRY_AFTER_MILLIS, millis));
        return answer;
    }

    /**
     * Returns what a target's node answers after it sent a call to its target.
     *
     * @param sent what came of sending it
     * @return the answer for the node that sent the call
     */
    public static HttpAnswer ofTarget(SendOutcome sent) {
        return switch (sent) {
            case SendOutcome.Whole whole ->
                    new HttpAnswer(
                                    whole.answer().status(),
                                    MeshHeaders.ofTarget(whole.answer().headers()),
                                    whole.answer().body())
                            .setHeader(MeshHeaders.OUTCOME, MeshHeaders.ANSWERED);
            case SendOutcome.NeverSent never -> notRun(503, never.reason(), Optional.of(1L));
            case SendOutcome.Refused refused ->
                    notRun(503, refused.reason(), Optional.of(refused.retryAfterMillis()))
                            .setHeader(MeshHeaders.REACHED_TARGET, "true");
            case SendOutcome.Lost lost -> mayHaveRun(lost.reason());
        };
    }

    /**
     * Returns the answer of a call that may have run.
     *
     * @param reason why nothing more is known
     * @return the answer
     */
    public static HttpAnswer mayHaveRun(String reason) {
        return refusal(
                reason.equals(TIMEOUT) ? GATEWAY_TIMEOUT : BAD_GATEWAY,
                MeshHeaders.MAY_HAVE_RUN,
                reason);
    }

    /**
     * Reads a whole number from a header.
     *
     * @param call the call
     * @param header name of the header
     * @param absent value when it is absent or not a number from 0 on
     * @return the number
     */
    public static int number(HttpCall call, String header, int absent) {
        String text = call.header(header, "");
        try {
            int value = Integer.parseInt(text);
            return value < 0 ? absent : value;
        } catch (NumberFormatException malformed) {
            return absent;
        }
    }

    /**
     * Returns the answer of a target with what the mesh knows of the call.
     *
     * @param answer the answer of the target
     * @param requestId identity of the call
     * @param configuration configuration version that routed it
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
     * @param outcome what is known of it
     * @param requestId identity of the call
     * @return the answer for the caller
     * @throws IllegalStateException when a target did answer
     */
    public static HttpAnswer refused(AttemptOutcome outcome, String requestId) {
        HttpAnswer answer =
                switch (outcome) {
                    case AttemptOutcome.NotRun notRun ->
                            notRun(503, notRun.reason(), Optional.of(notRun.retryAfterMillis()));
                    case AttemptOutcome.MayHaveRun mayHaveRun -> mayHaveRun(mayHaveRun.reason());
                    case AttemptOutcome.Answered answered ->
                            throw new IllegalStateException("an answered call is not refused");
                };
        return answer.setHeader(MeshHeaders.REQUEST_ID, requestId);
    }

    private static AttemptOutcome outcome(HttpAnswer answer) {
        String told = answer.headers().get(MeshHeaders.OUTCOME);
        return switch (told) {
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

    private static HttpAnswer refusal(int status, String outcome, String reason) {
        String body = "{\"outcome\":\"%s\",\"reason\":\"%s\"}%n".formatted(outcome, reason);
        return HttpAnswer.of(status, JSON, body)
                .setHeader(MeshHeaders.OUTCOME, outcome)
                .setHeader(MeshHeaders.REASON, reason);
    }

    private static long retryAfterMillis(HttpAnswer answer) {
        try {
            long millis = Long.parseLong(answer.headers().get(MeshHeaders.RETRY_AFTER_MILLIS, ""));
            return Math.clamp(millis, 0, LONGEST_RETRY_AFTER_MILLIS);
        } catch (NumberFormatException malformed) {
            return 0;
        }
    }

    private static long seconds(long millis) {
        return Math.max(1, Math.ceilDiv(millis, MILLIS_PER_SECOND));
    }
}
