package org.cuminreach.node.http;

import java.util.Optional;
import org.cuminreach.decisions.retry.AttemptOutcome;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.runtime.http.HttpCall;

/** Turns outcomes into HTTP answers and back. */
public final class CallAnswers {
    private static final String JSON = "application/json";
    private static final int MILLIS_PER_SECOND = 1_000;

    private CallAnswers() {}

    /**
     * Reads what came of an attempt.
     *
     * @param sent what came of sending it
     * @return the outcome; a refusal by the target's node counts as not run
     */
    public static AttemptOutcome outcome(SendOutcome sent) {
        return switch (sent) {
            case SendOutcome.NeverSent never -> new AttemptOutcome.NotRun(never.reason(), 0);
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
        retryAfterMillis.ifPresent(millis -> answer.with("Retry-After", seconds(millis)));
        return answer;
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
                .with(MeshHeaders.OUTCOME, MeshHeaders.ANSWERED)
                .with(MeshHeaders.REQUEST_ID, requestId)
                .with(MeshHeaders.CONFIGURATION, configuration)
                .with(MeshHeaders.TARGET_VERSION, version);
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
                    case AttemptOutcome.MayHaveRun mayHaveRun ->
                            refusal(
                                    mayHaveRun.reason().equals("timeout") ? 504 : 502,
                                    MeshHeaders.MAY_HAVE_RUN,
                                    mayHaveRun.reason());
                    case AttemptOutcome.Answered answered ->
                            throw new IllegalStateException("an answered call is not refused");
                };
        return answer.with(MeshHeaders.REQUEST_ID, requestId);
    }

    private static AttemptOutcome outcome(HttpAnswer answer) {
        String told = answer.headers().get(MeshHeaders.OUTCOME);
        if (MeshHeaders.NOT_RUN.equals(told)) {
            String seconds = answer.headers().get("Retry-After");
            long millis = seconds == null ? 0 : Long.parseLong(seconds) * MILLIS_PER_SECOND;
            return new AttemptOutcome.NotRun("refused_by_target_node", millis);
        }
        if (MeshHeaders.MAY_HAVE_RUN.equals(told)) {
            return new AttemptOutcome.MayHaveRun("lost_at_target_node");
        }
        return new AttemptOutcome.Answered(answer.status());
    }

    private static HttpAnswer refusal(int status, String outcome, String reason) {
        String body = "{\"outcome\":\"%s\",\"reason\":\"%s\"}%n".formatted(outcome, reason);
        return HttpAnswer.of(status, JSON, body).with(MeshHeaders.OUTCOME, outcome);
    }

    private static long seconds(long millis) {
        return Math.max(1, Math.ceilDiv(millis, MILLIS_PER_SECOND));
    }
}
