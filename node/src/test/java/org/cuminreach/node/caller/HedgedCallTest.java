package org.cuminreach.node.caller;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.cuminreach.node.http.CallAnswers;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.runtime.http.HttpAnswer;

class HedgedCallTest {
    private static final long TIMEOUT_SECONDS = 20;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final CompletableFuture<HttpAnswer> first = new CompletableFuture<>();
    private final CompletableFuture<HttpAnswer> second = new CompletableFuture<>();
    private final CompletableFuture<Void> firstCancelled = new CompletableFuture<>();
    private final CompletableFuture<Void> secondCancelled = new CompletableFuture<>();
    private final CompletableFuture<Void> secondStarted = new CompletableFuture<>();

    @AfterTry
    void stopTimer() {
        timer.shutdownNow();
    }

    private CompletableFuture<HttpAnswer> startHedgedCall(boolean startSecond) {
        return HedgedCall.start(
                new HedgedCall.Attempt(first, () -> firstCancelled.complete(null)),
                1,
                timer,
                () -> {
                    secondStarted.complete(null);
                    return startSecond
                            ? Optional.of(
                                    new HedgedCall.Attempt(
                                            second, () -> secondCancelled.complete(null)))
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

    private static <T> T await(CompletableFuture<T> future) throws Exception {
        return future.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Example
    void answeredCallLeavesNoTimerBehind() {
        ScheduledThreadPoolExecutor delays = new ScheduledThreadPoolExecutor(1);
        delays.setRemoveOnCancelPolicy(true);
        HedgedCall.start(
                new HedgedCall.Attempt(first, () -> firstCancelled.complete(null)),
                TimeUnit.HOURS.toMillis(1),
                delays,
                Optional::empty);
        first.complete(answered(200));

        assertThat(delays.getQueue()).isEmpty();
        delays.shutdownNow();
    }

    @Example
    void secondAnswerWinsAndCancelsFirstAttempt() throws Exception {
        CompletableFuture<HttpAnswer> result = startHedgedCall(true);
        await(secondStarted);
        second.complete(answered(200));

        assertThat(await(result).status()).isEqualTo(200);
        await(firstCancelled);
    }

    @Example
    void firstAnswerWinsAndCancelsSecondAttempt() throws Exception {
        CompletableFuture<HttpAnswer> result = startHedgedCall(true);
        await(secondStarted);
        first.complete(answered(200));

        assertThat(await(result).status()).isEqualTo(200);
        await(secondCancelled);
    }

    @Example
    void failedAttemptWaitsForOtherAttempt() throws Exception {
        CompletableFuture<HttpAnswer> result = startHedgedCall(true);
        await(secondStarted);
        second.complete(refused());
        assertThat(result.isDone()).isFalse();
        first.complete(answered(200));

        assertThat(await(result).status()).isEqualTo(200);
    }

    @Example
    void failureOfFirstAttemptWhileSecondStartsWaitsForSecond() throws Exception {
        CompletableFuture<HttpAnswer> result =
                HedgedCall.start(
                        new HedgedCall.Attempt(first, () -> firstCancelled.complete(null)),
                        1,
                        timer,
                        () -> {
                            first.complete(refused());
                            secondStarted.complete(null);
                            return Optional.of(
                                    new HedgedCall.Attempt(
                                            second, () -> secondCancelled.complete(null)));
                        });
        await(secondStarted);
        second.complete(answered(200));

        assertThat(await(result).status()).isEqualTo(200);
    }

    @Example
    void failureOfFirstAttemptWhileSecondIsSkippedEndsCall() throws Exception {
        CompletableFuture<HttpAnswer> result =
                HedgedCall.start(
                        new HedgedCall.Attempt(first, () -> firstCancelled.complete(null)),
                        1,
                        timer,
                        () -> {
                            first.complete(refused());
                            return Optional.empty();
                        });

        assertThat(await(result).status()).isEqualTo(503);
    }

    @Example
    void secondAttemptThatCannotStartLeavesFirst() throws Exception {
        CompletableFuture<HttpAnswer> result =
                HedgedCall.start(
                        new HedgedCall.Attempt(first, () -> firstCancelled.complete(null)),
                        1,
                        timer,
                        () -> {
                            secondStarted.complete(null);
                            throw new IllegalStateException("cannot start");
                        });
        await(secondStarted);
        first.complete(refused());

        assertThat(await(result).status()).isEqualTo(503);
    }

    @Example
    void attemptThatEndsWithErrorDoesNotCancelOtherAttempt() throws Exception {
        CompletableFuture<HttpAnswer> result = startHedgedCall(true);
        await(secondStarted);
        first.completeExceptionally(new IllegalStateException("an attempt failed"));

        assertThat(result.isDone()).isFalse();
        assertThat(secondCancelled.isDone()).isFalse();
        second.complete(answered(200));
        assertThat(await(result).status()).isEqualTo(200);
    }

    @Example
    void refusalBesideAttemptThatEndedWithErrorIsNotReportedAsNotRun() throws Exception {
        CompletableFuture<HttpAnswer> result = startHedgedCall(true);
        await(secondStarted);
        first.completeExceptionally(new IllegalStateException("an attempt failed"));
        second.complete(refused());

        assertThat(result.isCompletedExceptionally()).isTrue();
    }

    @Example
    void callThatMayHaveRunIsNotReportedAsNotRun() throws Exception {
        CompletableFuture<HttpAnswer> result = startHedgedCall(true);
        await(secondStarted);
        first.complete(CallAnswers.mayHaveRun("timeout"));
        second.complete(refused());

        assertThat(await(result).headers().get(MeshHeaders.OUTCOME))
                .isEqualTo(MeshHeaders.MAY_HAVE_RUN);
    }

    @Example
    void callRefusedByBothTargetsIsReportedAsNotRun() throws Exception {
        CompletableFuture<HttpAnswer> result = startHedgedCall(true);
        await(secondStarted);
        second.complete(refused());
        first.complete(refused());

        assertThat(await(result).headers().get(MeshHeaders.OUTCOME)).isEqualTo(MeshHeaders.NOT_RUN);
    }

    @Example
    void firstAnswerIsReturnedWithoutSecondAttempt() throws Exception {
        CompletableFuture<HttpAnswer> result = startHedgedCall(false);
        await(secondStarted);
        first.complete(refused());

        assertThat(await(result).status()).isEqualTo(503);
    }
}
