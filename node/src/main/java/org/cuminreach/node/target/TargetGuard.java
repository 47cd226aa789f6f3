package org.cuminreach.node.target;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cuminreach.decisions.admission.AdmissionOutcome;
import org.cuminreach.decisions.admission.FairQueue;
import org.cuminreach.node.http.CallAnswers;
import org.cuminreach.node.http.HttpSender;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.http.SendOutcome;
import org.cuminreach.node.settings.NodeSettings;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.runtime.http.HttpCall;
import org.cuminreach.runtime.http.HttpHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Guards the target: lets as many calls through as it has slots, fairly among callers. */
public final class TargetGuard implements HttpHandler {
    private static final Logger LOGGER = LoggerFactory.getLogger(TargetGuard.class);
    private static final int DEFAULT_REMAINING_MILLIS = 5_000;
    private static final long DRAINING_RETRY_MILLIS = 1_000;
    private static final double NANOS_PER_MILLI = 1_000_000;

    /** A call at the guard. */
    private record Arrival(
            HttpCall call,
            String requestId,
            long deadlineMillis,
            CompletableFuture<HttpAnswer> answer) {}

    private final NodeSettings.Target target;
    private final HttpSender sender;
    private final FairQueue<Arrival> queue;
    private volatile boolean draining;

    private TargetGuard(NodeSettings.Target target, HttpSender sender) {
        this.target = target;
        this.sender = sender;
        this.queue = FairQueue.ofSlots(target.slots());
    }

    /**
     * Returns the guard of a target.
     *
     * @param target the target
     * @param sender sends calls to it
     * @return the guard
     */
    public static TargetGuard create(NodeSettings.Target target, HttpSender sender) {
        return new TargetGuard(target, sender);
    }

    @Override
    public CompletableFuture<HttpAnswer> handle(HttpCall call) {
        long nowMillis = ProcessClock.monotonicMillis();
        long remaining =
                CallAnswers.number(call, MeshHeaders.REMAINING_MILLIS, DEFAULT_REMAINING_MILLIS);
        Arrival arrival =
                new Arrival(
                        call,
                        call.header(MeshHeaders.REQUEST_ID, ""),
                        nowMillis + remaining,
                        new CompletableFuture<>());
        if (draining) {
            refuse(arrival, "draining", DRAINING_RETRY_MILLIS);
            return arrival.answer();
        }
        String caller = call.header(MeshHeaders.CALLER, call.remoteHost());
        AdmissionOutcome outcome;
        synchronized (queue) {
            outcome = queue.arrive(arrival, caller, arrival.deadlineMillis(), nowMillis);
        }
        switch (outcome) {
            case AdmissionOutcome.Run run -> run(arrival);
            case AdmissionOutcome.Queued queued ->
                    LOGGER.info("event=call_queued request={}", arrival.requestId());
            case AdmissionOutcome.Refused refused ->
                    refuse(arrival, refused.reason(), refused.retryAfterMillis());
        }
        return arrival.answer();
    }

    /**
     * Lets time pass: refuses the calls that can no longer start in time.
     *
     * @param nowMillis present time
     */
    public void tick(long nowMillis) {
        List<Arrival> expired;
        synchronized (queue) {
            expired = queue.expire(nowMillis);
        }
        expired.forEach(arrival -> refuse(arrival, "deadline_cannot_be_met", 1));
    }

    /** Refuses new calls from now on. */
    public void drain() {
        draining = true;
    }

    /**
     * Returns how many calls run at the target.
     *
     * @return calls running
     */
    public int running() {
        synchronized (queue) {
            return queue.running();
        }
    }

    /**
     * Returns how many calls wait.
     *
     * @return calls waiting
     */
    public int waiting() {
        synchronized (queue) {
            return queue.waiting();
        }
    }

    private void run(Arrival arrival) {
        long begunNanos = System.nanoTime();
        long remaining = arrival.deadlineMillis() - ProcessClock.monotonicMillis();
        HttpHeaders headers =
                MeshHeaders.endToEnd(arrival.call().headers())
                        .set(MeshHeaders.REMAINING_MILLIS, remaining);
        sender.send(target.address(), arrival.call(), headers, remaining)
                .whenComplete(
                        (sent, failure) -> {
                            release((System.nanoTime() - begunNanos) / NANOS_PER_MILLI);
                            finish(arrival, sent, failure);
                        });
    }

    private void release(double ranMillis) {
        List<Arrival> next;
        synchronized (queue) {
            next = queue.release(ranMillis, ProcessClock.monotonicMillis());
        }
        next.forEach(this::run);
    }

    private void finish(Arrival arrival, SendOutcome sent, Throwable failure) {
        if (failure != null) {
            arrival.answer().completeExceptionally(failure);
            return;
        }
        switch (sent) {
            case SendOutcome.Whole whole ->
                    arrival.answer()
                            .complete(
                                    new HttpAnswer(
                                            whole.answer().status(),
                                            MeshHeaders.endToEnd(whole.answer().headers()),
                                            whole.answer().body()));
            case SendOutcome.NeverSent never -> refuse(arrival, never.reason(), 1);
            case SendOutcome.Lost lost -> {
                LOGGER.info(
                        "event=call_lost request={} reason={}", arrival.requestId(), lost.reason());
                String body =
                        "{\"outcome\":\"may-have-run\",\"reason\":\"" + lost.reason() + "\"}\n";
                arrival.answer()
                        .complete(
                                HttpAnswer.of(502, "application/json", body)
                                        .with(MeshHeaders.OUTCOME, MeshHeaders.MAY_HAVE_RUN));
            }
        }
    }

    private static void refuse(Arrival arrival, String reason, long retryAfterMillis) {
        LOGGER.info("event=call_refused request={} reason={}", arrival.requestId(), reason);
        arrival.answer().complete(CallAnswers.notRun(503, reason, Optional.of(retryAfterMillis)));
    }
}
