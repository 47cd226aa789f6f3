package org.cuminreach.control.node;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cuminreach.control.replica.ReplicaDriver;
import org.cuminreach.runtime.ProcessClock;

/** Confirms with a quorum that the state of this control is current, for many nodes at once. */
final class QuorumConfirmations {
    private static final long TIMEOUT_MILLIS = 2_000;

    /**
     * Time between confirmations for nodes that keep asking, in milliseconds; half of the interval
     * at which a node asks.
     */
    private static final long REPEATED_INTERVAL_MILLIS = 200;

    private final ReplicaDriver replica;
    private final ConfirmationBatcher immediate = ConfirmationBatcher.of(this::confirm);
    private final ConfirmationBatcher repeated =
            ConfirmationBatcher.spaced(this::confirm, REPEATED_INTERVAL_MILLIS);

    QuorumConfirmations(ReplicaDriver replica) {
        this.replica = replica;
    }

    /** Completes once a quorum has confirmed, after this call, that this control is current. */
    CompletableFuture<Long> request() {
        return immediate.request();
    }

    /** Completes with the configuration version that a quorum has confirmed after this call. */
    CompletableFuture<Long> requestVersion() {
        return repeated.request().thenApply(index -> replica.configuration().version());
    }

    private CompletableFuture<Long> confirm() {
        return replica.confirm(ProcessClock.monotonicMillis())
                .orTimeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
}
