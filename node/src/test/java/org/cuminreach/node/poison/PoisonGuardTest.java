package org.cuminreach.node.poison;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Example;
import org.cuminreach.decisions.retry.AttemptOutcome;
import org.cuminreach.node.http.CallAnswers;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.runtime.http.HttpCall;

class PoisonGuardTest {
    private static final String NODE = "node-1";
    private static final AttemptOutcome LOST = new AttemptOutcome.MayHaveRun("connection_closed");

    private final PoisonFilter filter = PoisonFilter.create();
    private final List<HttpCall> passed = new ArrayList<>();
    private HttpAnswer nextAnswer = HttpAnswer.of(200, "text/plain", "fine");
    private CompletableFuture<Boolean> targetEnded = CompletableFuture.completedFuture(false);
    private final PoisonGuard guard =
            PoisonGuard.create(filter, NODE, this::answer, () -> targetEnded);

    @Example
    void requestThatLostThreeTargetsIsRefusedThoughItsSenderDoesNotKnow() {
        for (int target = 0; target < 3; target++) {
            filter.record(
                    RequestFingerprint.of(call("/poison")),
                    "request",
                    "node-" + target,
                    LOST,
                    ProcessClock.monotonicMillis());
        }

        HttpAnswer answer = guard.handle(call("/poison")).join();

        assertThat(passed).isEmpty();
        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.headers().get(MeshHeaders.OUTCOME)).isEqualTo(MeshHeaders.NOT_RUN);
        assertThat(answer.headers().get(MeshHeaders.REASON)).isEqualTo("poisonous");
        assertThat(Integer.parseInt(answer.headers().get("Retry-After"))).isGreaterThan(50);
        assertThat(guard.handle(call("/fine")).join().status()).isEqualTo(200);
    }

    @Example
    void callCancelledBeforeTheTargetEndedIsRecordedWhenTheNextCallCannotConnect() {
        handle("/poison", CallAnswers.mayHaveRun("abandoned"), true);
        handle("/fine", CallAnswers.notRun(503, "cannot_connect", Optional.empty()), true);

        assertThat(isSuspect("/poison")).isTrue();
        assertThat(isSuspect("/fine")).isFalse();
    }

    @Example
    void callWhoseConnectionIsClosedByRunningTargetIsNotRecorded() {
        handle("/fine", CallAnswers.mayHaveRun("connection_closed"), false);
        handle("/late", CallAnswers.mayHaveRun("timeout"), false);

        assertThat(isSuspect("/fine")).isFalse();
        assertThat(isSuspect("/late")).isFalse();
    }

    @Example
    void callsThatDidNotReachTheTargetAreNotRecorded() {
        handle("/refused", CallAnswers.notRun(503, "queue_full", Optional.of(5L)), true);
        handle("/left", CallAnswers.notRun(503, "abandoned", Optional.empty()), true);
        handle("/cut", CallAnswers.mayHaveRun("connection_closed"), true);

        assertThat(isSuspect("/refused")).isFalse();
        assertThat(isSuspect("/left")).isFalse();
        assertThat(isSuspect("/cut")).isTrue();
    }

    @Example
    void endThatIsCertainLateCountsFromTheInterruptionOfTheCall() throws Exception {
        long nowMillis = ProcessClock.monotonicMillis();
        targetEnded = new CompletableFuture<>();
        nextAnswer = CallAnswers.mayHaveRun("connection_closed");
        guard.handle(call("/other")).join();
        filter.record(
                RequestFingerprint.of(call("/other")),
                "request",
                "node-2",
                LOST,
                nowMillis - 9_000);
        filter.record(
                RequestFingerprint.of(call("/other")),
                "request",
                "node-3",
                LOST,
                nowMillis - 9_000);
        Thread.sleep(300);
        targetEnded.complete(true);

        long confirmedMillis = ProcessClock.monotonicMillis();
        assertThat(
                        filter.remainingRefusalMillis(
                                        RequestFingerprint.of(call("/other")), confirmedMillis)
                                .getAsLong())
                .isAtMost(59_750);
    }

    @Example
    void answerOfTheTargetClearsTheRecordOfItsNode() {
        handle("/fine", CallAnswers.mayHaveRun("connection_closed"), true);
        handle("/fine", answered(500), false);
        handle("/fine", answered(200), false);

        assertThat(isSuspect("/fine")).isFalse();
    }

    private static HttpAnswer answered(int status) {
        return HttpAnswer.of(status, "text/plain", "x")
                .setHeader(MeshHeaders.OUTCOME, MeshHeaders.ANSWERED);
    }

    private CompletableFuture<HttpAnswer> answer(HttpCall call) {
        passed.add(call);
        return CompletableFuture.completedFuture(nextAnswer);
    }

    private void handle(String path, HttpAnswer answer, boolean ended) {
        nextAnswer = answer;
        targetEnded = CompletableFuture.completedFuture(ended);
        guard.handle(call(path)).join();
    }

    /** Loses another target under the request, which is excused if it has lost one before. */
    private boolean isSuspect(String path) {
        return filter.record(
                RequestFingerprint.of(call(path)),
                "request",
                "node-2",
                LOST,
                ProcessClock.monotonicMillis());
    }

    private static HttpCall call(String path) {
        DefaultHttpHeaders headers = new DefaultHttpHeaders();
        headers.set("Host", "parts.test");
        return new HttpCall("GET", path, headers, new byte[0], "127.0.0.1");
    }
}
