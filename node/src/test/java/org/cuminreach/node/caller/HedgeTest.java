package org.cuminreach.node.caller;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.cuminreach.node.http.CallAnswers;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.runtime.http.HttpAnswer;

class HedgeTest {
    private static final long WAIT_SECONDS = 20;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final CompletableFuture<HttpAnswer> first = new CompletableFuture<>();
    private final CompletableFuture<HttpAnswer> second = new CompletableFuture<>();
    private final CompletableFuture<Void> firstEnded = new CompletableFuture<>();
    private final CompletableFuture<Void> secondEnded = new CompletableFuture<>();
    private final CompletableFuture<Void> secondStarted = new CompletableFuture<>();

    @AfterTry
    void stopTimer() {
        timer.shutdownNow();
    }

    private CompletableFuture<HttpAnswer> hedge(boolean startsSecond) {
        return Hedge.of(
                new Hedge.Attempt(first, () -> firstEnded.complete(null)),
                1,
                timer,
                () -> {
                    secondStarted.complete(null);
                    return startsSecond
                            ? Optional.of(
                                    new Hedge.Attempt(second, () -> secondEnded.complete(null)))
                            : Optional.empty();
                });
    }

    private static HttpAnswer answered(int status) {
        return new HttpAnswer(status, new DefaultHttpHeaders(), new byte[0])
                .setHeader(MeshHeaders.OUTCOME, MeshHeaders.ANSWERED);
    }

    private static HttpAnswer refused() {
        return CallAnswers.notRun(503, "queue_full", Optional.of(5L));
    }

    private static <T> T value(CompletableFuture<T> future) throws Exception {
        return future.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    @Example
    void secondAnswerWinsAndEndsTheFirstAttempt() throws Exception {
        CompletableFuture<HttpAnswer> result = hedge(true);
        value(secondStarted);
        second.complete(answered(200));

        assertThat(value(result).status()).isEqualTo(200);
        value(firstEnded);
    }

    @Example
    void firstAnswerWinsAndEndsTheSecondAttempt() throws Exception {
        CompletableFuture<HttpAnswer> result = hedge(true);
        value(secondStarted);
        first.complete(answered(200));

        assertThat(value(result).status()).isEqualTo(200);
        value(secondEnded);
    }

    @Example
    void failureOfOneAttemptWaitsForTheOther() throws Exception {
        CompletableFuture<HttpAnswer> result = hedge(true);
        value(secondStarted);
        second.complete(refused());
        assertThat(result.isDone()).isFalse();
        first.complete(answered(200));

        assertThat(value(result).status()).isEqualTo(200);
    }

    @Example
    void callThatMayHaveRunIsNotSaidToBeNotRun() throws Exception {
        CompletableFuture<HttpAnswer> result = hedge(true);
        value(secondStarted);
        first.complete(CallAnswers.mayHaveRun("timeout"));
        second.complete(refused());

        assertThat(value(result).headers().get(MeshHeaders.OUTCOME))
                .isEqualTo(MeshHeaders.MAY_HAVE_RUN);
    }

    @Example
    void callThatBothTargetsRefusedHasNotRun() throws Exception {
        CompletableFuture<HttpAnswer> result = hedge(true);
        value(secondStarted);
        second.complete(refused());
        first.complete(refused());

        assertThat(value(result).headers().get(MeshHeaders.OUTCOME)).isEqualTo(MeshHeaders.NOT_RUN);
    }

    @Example
    void withoutSecondAttemptTheFirstDecides() throws Exception {
        CompletableFuture<HttpAnswer> result = hedge(false);
        value(secondStarted);
        first.complete(refused());

        assertThat(value(result).status()).isEqualTo(503);
    }
}
