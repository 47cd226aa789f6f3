package org.cuminreach.node.poison;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.cuminreach.decisions.retry.AttemptOutcome;
import org.cuminreach.node.http.CallAnswers;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.target.TargetClient;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.runtime.http.HttpCall;
import org.cuminreach.runtime.http.HttpHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Notices when the target next to the node ends, and records the requests that it was running or
 * had just been running. The nodes that sent them do not see this when their caller has left. A
 * closed connection alone does not show that a target has ended; one that refuses new connections
 * has. Answers of the target clear what was recorded. Calls of nodes that do not know that a
 * request crashes its targets are refused. Thread-safe.
 */
public final class PoisonGuard implements HttpHandler {
    private static final Logger LOGGER = LoggerFactory.getLogger(PoisonGuard.class);

    private static final int UNAVAILABLE = 503;

    private final PoisonFilter filter;
    private final String node;
    private final HttpHandler target;
    private final Supplier<CompletableFuture<Boolean>> endCheck;
    private final InterruptedCalls interrupted = new InterruptedCalls();
    private final AtomicBoolean checking = new AtomicBoolean();

    private PoisonGuard(
            PoisonFilter filter,
            String node,
            HttpHandler target,
            Supplier<CompletableFuture<Boolean>> endCheck) {
        this.filter = filter;
        this.node = node;
        this.target = target;
        this.endCheck = endCheck;
    }

    /**
     * Returns the guard of a target.
     *
     * @param filter the filter of the node
     * @param node name of the node
     * @param target passes calls to the target
     * @param endCheck tells whether the target refuses connections
     * @return the guard
     */
    public static PoisonGuard create(
            PoisonFilter filter,
            String node,
            HttpHandler target,
            Supplier<CompletableFuture<Boolean>> endCheck) {
        return new PoisonGuard(filter, node, target, endCheck);
    }

    @Override
    public CompletableFuture<HttpAnswer> handle(HttpCall call) {
        RequestFingerprint request = RequestFingerprint.of(call);
        OptionalLong refused =
                filter.remainingRefusalMillis(request, ProcessClock.monotonicMillis());
        if (refused.isPresent()) {
            LOGGER.info(
                    "event=call_refused request={} reason={} retry_after_ms={}",
                    call.header(MeshHeaders.REQUEST_ID, ""),
                    PoisonFilter.REFUSAL_REASON,
                    refused.getAsLong());
            return CompletableFuture.completedFuture(
                    CallAnswers.notRun(
                            UNAVAILABLE,
                            PoisonFilter.REFUSAL_REASON,
                            Optional.of(refused.getAsLong())));
        }
        return target.handle(call).thenApply(answer -> observe(call, request, answer));
    }

    private HttpAnswer observe(HttpCall call, RequestFingerprint request, HttpAnswer answer) {
        String reason = answer.headers().get(MeshHeaders.REASON, "");
        boolean mayHaveRun =
                MeshHeaders.MAY_HAVE_RUN.equals(answer.headers().get(MeshHeaders.OUTCOME));
        if (MeshHeaders.ANSWERED.equals(answer.headers().get(MeshHeaders.OUTCOME))) {
            filter.record(
                    request,
                    call.header(MeshHeaders.REQUEST_ID, ""),
                    node,
                    new AttemptOutcome.Answered(answer.status()),
                    ProcessClock.monotonicMillis());
            return answer;
        }
        boolean closedByTarget = mayHaveRun && TargetClient.CLOSED_BY_TARGET.contains(reason);
        if (closedByTarget || (mayHaveRun && TargetClient.CANCELLED.contains(reason))) {
            synchronized (interrupted) {
                interrupted.add(request.text(), ProcessClock.monotonicMillis());
            }
        }
        if (closedByTarget || reason.equals(TargetClient.CANNOT_CONNECT)) {
            checkWhetherEnded();
        }
        return answer;
    }

    private void checkWhetherEnded() {
        synchronized (interrupted) {
            if (interrupted.isEmpty(ProcessClock.monotonicMillis())) {
                return;
            }
        }
        if (!checking.compareAndSet(false, true)) {
            return;
        }
        endCheck.get()
                .whenComplete(
                        (ended, failure) -> {
                            checking.set(false);
                            if (failure != null) {
                                LOGGER.warn("event=target_end_check_failed", failure);
                            } else if (ended) {
                                recordEnd(ProcessClock.monotonicMillis());
                            }
                        });
    }

    private void recordEnd(long nowMillis) {
        Map<String, Long> interruptedMillis;
        synchronized (interrupted) {
            interruptedMillis = interrupted.takeAll(nowMillis);
        }
        LOGGER.info("event=target_ended fingerprints={}", interruptedMillis.keySet());
        filter.recordTargetEnd(interruptedMillis, node, nowMillis);
    }
}
