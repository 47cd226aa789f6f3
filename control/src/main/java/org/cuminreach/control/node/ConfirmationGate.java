package org.cuminreach.control.node;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Confirms with a quorum on behalf of many nodes at once. A node waits for a confirmation that was
 * begun after it asked; while one is under way, later nodes share the next.
 */
final class ConfirmationGate {
    private final Supplier<CompletableFuture<Long>> confirm;
    private List<CompletableFuture<Long>> waiting = new ArrayList<>();
    private boolean underWay;

    private ConfirmationGate(Supplier<CompletableFuture<Long>> confirm) {
        this.confirm = confirm;
    }

    static ConfirmationGate of(Supplier<CompletableFuture<Long>> confirm) {
        return new ConfirmationGate(confirm);
    }

    CompletableFuture<Long> ask() {
        CompletableFuture<Long> result = new CompletableFuture<>();
        synchronized (this) {
            waiting.add(result);
        }
        beginIfIdle();
        return result;
    }

    private void beginIfIdle() {
        List<CompletableFuture<Long>> served;
        synchronized (this) {
            if (underWay || waiting.isEmpty()) {
                return;
            }
            underWay = true;
            served = waiting;
            waiting = new ArrayList<>();
        }
        confirm.get().whenComplete((index, failure) -> end(served, index, failure));
    }

    private void end(List<CompletableFuture<Long>> served, Long index, Throwable failure) {
        synchronized (this) {
            underWay = false;
        }
        for (CompletableFuture<Long> result : served) {
            if (failure == null) {
                result.complete(index);
            } else {
                result.completeExceptionally(failure);
            }
        }
        beginIfIdle();
    }
}
