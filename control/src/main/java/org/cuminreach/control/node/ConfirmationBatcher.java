package org.cuminreach.control.node;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Combines the quorum confirmations of many nodes. A node waits for a confirmation that was started
 * after its request; while one is in progress, later requests share the next one.
 */
final class ConfirmationBatcher {
    private final Supplier<CompletableFuture<Long>> confirm;
    private List<CompletableFuture<Long>> waiting = new ArrayList<>();
    private boolean inProgress;

    private ConfirmationBatcher(Supplier<CompletableFuture<Long>> confirm) {
        this.confirm = confirm;
    }

    static ConfirmationBatcher of(Supplier<CompletableFuture<Long>> confirm) {
        return new ConfirmationBatcher(confirm);
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
        List<CompletableFuture<Long>> batch;
        synchronized (this) {
            if (inProgress || waiting.isEmpty()) {
                return;
            }
            inProgress = true;
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
