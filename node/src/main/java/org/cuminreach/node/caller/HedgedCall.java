package org.cuminreach.node.caller;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cuminreach.node.http.CallAnswers;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.runtime.http.HttpAnswer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A call with a second attempt that runs beside a slow first one. The first successful answer is
 * the call's, and the other attempt is cancelled. The call fails once both attempts have failed.
 */
final class HedgedCall {
    private static final Logger LOGGER = LoggerFactory.getLogger(HedgedCall.class);

    /**
     * An attempt.
     *
     * @param answer completes with its answer
     * @param cancel cancels it
     */
    record Attempt(CompletableFuture<HttpAnswer> answer, Runnable cancel) {}

    private final CompletableFuture<HttpAnswer> result = new CompletableFuture<>();
    private final Attempt first;
    private Optional<Attempt> second = Optional.empty();
    private Optional<HttpAnswer> failedAnswer = Optional.empty();
    private Optional<Throwable> brokenAttempt = Optional.empty();
    private int running = 1;

    private HedgedCall(Attempt first) {
        this.first = first;
    }

    /**
     * Waits for an attempt, and starts a second one if the first exceeds the delay.
     *
     * @param first the running attempt
     * @param delayMillis delay before the second attempt, in milliseconds
     * @param timer schedules the second attempt
     * @param starter starts the second attempt, or returns empty to skip it
     * @return completes with the answer of the call
     */
    static CompletableFuture<HttpAnswer> start(
            Attempt first,
            long delayMillis,
            ScheduledExecutorService timer,
            Supplier<Optional<Attempt>> starter) {
        HedgedCall hedge = new HedgedCall(first);
        first.answer().whenComplete(hedge::onAttemptCompleted);
        if (!hedge.result.isDone()) {
            ScheduledFuture<?> overdue =
                    timer.schedule(
                            () -> hedge.startSecond(starter), delayMillis, TimeUnit.MILLISECONDS);
            hedge.result.whenComplete((answer, failure) -> overdue.cancel(false));
        }
        return hedge.result;
    }

    private void startSecond(Supplier<Optional<Attempt>> starter) {
        synchronized (this) {
            if (result.isDone()) {
                return;
            }
            // Counted before it starts, so that the first attempt cannot end the call meanwhile.
            running++;
        }
        Optional<Attempt> started = Optional.empty();
        try {
            started = starter.get();
        } catch (RuntimeException failure) {
            LOGGER.error("event=hedged_attempt_failed other_attempt=running", failure);
        }
        synchronized (this) {
            second = started;
        }
        started.ifPresentOrElse(this::awaitSecond, this::skipSecond);
    }

    private void awaitSecond(Attempt attempt) {
        attempt.answer().whenComplete(this::onAttemptCompleted);
        if (result.isDone()) {
            attempt.cancel().run();
        }
    }

    private void skipSecond() {
        if (endAttempt()) {
            completeWithFailure();
        }
    }

    /** Counts an attempt as ended and tells whether it was the last. */
    private synchronized boolean endAttempt() {
        running--;
        return running == 0;
    }

    private void onAttemptCompleted(HttpAnswer answer, Throwable failure) {
        boolean last;
        synchronized (this) {
            last = endAttempt();
            if (failure != null) {
                brokenAttempt = Optional.of(failure);
            } else if (!isSuccess(answer)) {
                failedAnswer = Optional.of(moreUncertain(answer));
            }
        }
        if (failure == null && isSuccess(answer)) {
            result.complete(answer);
        } else if (last) {
            completeWithFailure();
        } else if (failure != null) {
            LOGGER.error("event=hedged_attempt_failed other_attempt=running", failure);
        }
        if (result.isDone()) {
            first.cancel().run();
            second.ifPresent(attempt -> attempt.cancel().run());
        }
    }

    /** Completes the call, which may have run if any of its attempts ended with an error. */
    private synchronized void completeWithFailure() {
        if (brokenAttempt.isPresent()) {
            result.completeExceptionally(brokenAttempt.get());
        } else {
            failedAnswer.ifPresent(result::complete);
        }
    }

    /** Of two failures, returns the one after which the call may have run, if any. */
    private HttpAnswer moreUncertain(HttpAnswer answer) {
        return failedAnswer.filter(previous -> !isNotRun(previous)).orElse(answer);
    }

    private static boolean isNotRun(HttpAnswer answer) {
        return MeshHeaders.NOT_RUN.equals(answer.headers().get(MeshHeaders.OUTCOME));
    }

    private static boolean isSuccess(HttpAnswer answer) {
        return MeshHeaders.ANSWERED.equals(answer.headers().get(MeshHeaders.OUTCOME))
                && !CallAnswers.isFailure(answer.status());
    }
}
