package org.cuminreach.node.caller;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cuminreach.node.http.CallAnswers;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.runtime.http.HttpAnswer;

/**
 * A call of which a second attempt runs beside a slow first one. The first good answer is the
 * call's; the other attempt is ended. Without a good answer the call fails once both have.
 */
final class HedgedCall {
    /**
     * An attempt.
     *
     * @param answer completes with its answer
     * @param cancel ends it without an answer
     */
    record Attempt(CompletableFuture<HttpAnswer> answer, Runnable cancel) {}

    private final CompletableFuture<HttpAnswer> result = new CompletableFuture<>();
    private final Attempt first;
    private Optional<Attempt> second = Optional.empty();
    private Optional<HttpAnswer> failedAnswer = Optional.empty();
    private int running = 1;

    private HedgedCall(Attempt first) {
        this.first = first;
    }

    /**
     * Waits for an attempt, and starts a second one when the first takes too long.
     *
     * @param first the attempt that runs
     * @param delayMillis how long to wait for it alone, in milliseconds
     * @param timer starts the second attempt
     * @param start starts it; empty when there is to be none
     * @return completes with the answer of the call
     */
    static CompletableFuture<HttpAnswer> start(
            Attempt first,
            long delayMillis,
            ScheduledExecutorService timer,
            Supplier<Optional<Attempt>> start) {
        HedgedCall hedge = new HedgedCall(first);
        first.answer().whenComplete(hedge::onAttemptCompleted);
        if (!hedge.result.isDone()) {
            timer.schedule(() -> hedge.startSecond(start), delayMillis, TimeUnit.MILLISECONDS);
        }
        return hedge.result;
    }

    private void startSecond(Supplier<Optional<Attempt>> start) {
        if (result.isDone()) {
            return;
        }
        Optional<Attempt> started = start.get();
        synchronized (this) {
            second = started;
            running += started.isPresent() ? 1 : 0;
        }
        started.ifPresent(
                attempt -> {
                    attempt.answer().whenComplete(this::onAttemptCompleted);
                    if (result.isDone()) {
                        attempt.cancel().run();
                    }
                });
    }

    private void onAttemptCompleted(HttpAnswer answer, Throwable failure) {
        Optional<HttpAnswer> last;
        synchronized (this) {
            running--;
            if (failure == null && !isSuccess(answer)) {
                failedAnswer = Optional.of(moreUncertain(answer));
            }
            last = running == 0 ? failedAnswer : Optional.empty();
        }
        if (failure != null) {
            result.completeExceptionally(failure);
        } else if (isSuccess(answer)) {
            result.complete(answer);
        } else {
            last.ifPresent(result::complete);
        }
        if (result.isDone()) {
            first.cancel().run();
            second.ifPresent(attempt -> attempt.cancel().run());
        }
    }

    /** Of two failures, the one that leaves open whether the call has run is the true one. */
    private HttpAnswer moreUncertain(HttpAnswer answer) {
        return failedAnswer.filter(known -> !isNotRun(known)).orElse(answer);
    }

    private static boolean isNotRun(HttpAnswer answer) {
        return MeshHeaders.NOT_RUN.equals(answer.headers().get(MeshHeaders.OUTCOME));
    }

    private static boolean isSuccess(HttpAnswer answer) {
        return MeshHeaders.ANSWERED.equals(answer.headers().get(MeshHeaders.OUTCOME))
                && !CallAnswers.isFailure(answer.status());
    }
}
