package org.cuminreach.control.node;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cuminreach.runtime.ProcessClock;

/**
 * Combines the quorum confirmations of many nodes. A node waits for a confirmation that was started
 * after its request; while one is in progress, later requests share the next one.
 */
final class ConfirmationBatcher {
    private final Supplier<CompletableFuture<Long>> confirm;
    private final long minIntervalMillis;
    private List<CompletableFuture<Long>> waiting = new ArrayList<>();
    private long startedMillis;
    private boolean inProgress;

    private ConfirmationBatcher(Supplier<CompletableFuture<Long>> confirm, long minIntervalMillis) {
        this.confirm = confirm;
        this.minIntervalMillis = minIntervalMillis;
        this.startedMillis = ProcessClock.monotonicMillis() - minIntervalMillis;
    }

    static ConfirmationBatcher of(Supplier<CompletableFuture<Long>> confirm) {
        return new ConfirmationBatcher(confirm, 0);
    }

    /** Returns a batcher that leaves a time between the starts of two confirmations. */
    static ConfirmationBatcher spaced(
            Supplier<CompletableFuture<Long>> confirm, long minIntervalMillis) {
        return new ConfirmationBatcher(confirm, minIntervalMillis);
    }

    CompletableFuture<Long> request() {
        CompletableFuture<Long> result = new CompletableFuture<>();
        synchronized (this) {
            waiting.add(result);
        }
        startIfIdle();
        return result;
    }

    private void startIfIdle() {
        synchronized (this) {
            if (inProgress || waiting.isEmpty()) {
                return;
            }
            inProgress = true;
            long waitMillis = startedMillis + minIntervalMillis - ProcessClock.monotonicMillis();
            if (waitMillis > 0) {
                CompletableFuture.delayedExecutor(waitMillis, TimeUnit.MILLISECONDS, Runnable::run)
                        .execute(this::start);
                return;
            }
        }
        start();
    }

    private void start() {
        List<CompletableFuture<Long>> batch;
        synchronized (this) {
            startedMillis = ProcessClock.monotonicMillis();
            batch = waiting;
            waiting = new ArrayList<>();
        }
        confirm.get().whenComplete((index, failure) -> complete(batch, index, failure));
    }

    private void complete(List<CompletableFuture<Long>> batch, Long index, Throwable failure) {
        synchronized (this) {
            inProgress = false;
        }
        for (CompletableFuture<Long> result : batch) {
            if (failure == null) {
                result.complete(index);
            } else {
                result.completeExceptionally(failure);
            }
        }
        startIfIdle();
    }
}
