package org.cuminreach.control.node;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Confirms with a quorum on behalf of many nodes at once. A node waits for a confirmation that was
 * begun after it asked; while one is under way, later nodes share the next.
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
        List<CompletableFuture<Long>> served;
        synchronized (this) {
            if (inProgress || waiting.isEmpty()) {
                return;
            }
            inProgress = true;
            served = waiting;
            waiting = new ArrayList<>();
        }
        confirm.get().whenComplete((index, failure) -> complete(served, index, failure));
    }

    private void complete(List<CompletableFuture<Long>> served, Long index, Throwable failure) {
        synchronized (this) {
            inProgress = false;
        }
        for (CompletableFuture<Long> result : served) {
            if (failure == null) {
                result.complete(index);
            } else {
                result.completeExceptionally(failure);
            }
        }
        startIfIdle();
    }
}
