package org.cuminreach.node.target;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cuminreach.decisions.admission.AdmissionOutcome;
import org.cuminreach.decisions.admission.Caller;
import org.cuminreach.decisions.admission.FairQueue;
import org.cuminreach.decisions.admission.RefusedCall;
import org.cuminreach.decisions.routing.LoadReport;
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
            Caller caller,
            long arrivedNanos,
            long deadlineMillis,
            CompletableFuture<HttpAnswer> answer) {}

    private final NodeSettings.Target target;
    private final HttpSender sender;
    private final FairQueue<Arrival> queue;
    private final TargetMetrics metrics;
    private volatile boolean draining;

    private TargetGuard(NodeSettings.Target target, HttpSender sender, TargetMetrics metrics) {
        this.metrics = metrics;
        this.target = target;
        this.sender = sender;
        this.queue = FairQueue.ofSlots(target.slots());
    }

    /**
     * Returns the guard of a target.
     *
     * @param target the target
     * @param sender sends calls to it
     * @param metrics counts what comes of calls
     * @return the guard
     */
    public static TargetGuard create(
            NodeSettings.Target target, HttpSender sender, TargetMetrics metrics) {
        return new TargetGuard(target, sender, metrics);
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
                        Caller.parse(call.header(MeshHeaders.CALLER, call.remoteHost())),
                        System.nanoTime(),
                        nowMillis + remaining,
                        new CompletableFuture<>());
        if (draining) {
            refuse(arrival, "draining", DRAINING_RETRY_MILLIS);
            return arrival.answer();
        }
        AdmissionOutcome outcome;
        List<RefusedCall<Arrival>> displaced;
        synchronized (queue) {
            outcome = queue.arrive(arrival, arrival.caller(), arrival.deadlineMillis(), nowMillis);
            displaced = queue.takeRefused();
        }
        displaced.forEach(this::refuse);
        switch (outcome) {
            case AdmissionOutcome.Run run -> run(arrival);
            case AdmissionOutcome.Queued queued ->
                    LOGGER.info(
                            "event=call_queued request={} caller={}",
                            arrival.requestId(),
                            arrival.caller().text());
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
        List<RefusedCall<Arrival>> expired;
        synchronized (queue) {
            expired = queue.expire(nowMillis);
        }
        expired.forEach(this::refuse);
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
        metrics.started(begunNanos - arrival.arrivedNanos());
        long remaining = arrival.deadlineMillis() - ProcessClock.monotonicMillis();
        HttpHeaders headers =
                MeshHeaders.endToEnd(arrival.call().headers())
                        .set(MeshHeaders.REMAINING_MILLIS, remaining);
        sender.send(target.address(), arrival.call(), headers, remaining)
                .whenComplete(
                        (sent, failure) -> {
                            double ranMillis = (System.nanoTime() - begunNanos) / NANOS_PER_MILLI;
                            release(arrival.caller(), ranMillis);
                            finish(arrival, sent, failure);
                        });
    }

    private void release(Caller caller, double ranMillis) {
        List<Arrival> next;
        List<RefusedCall<Arrival>> late;
        synchronized (queue) {
            next = queue.release(caller, ranMillis, ProcessClock.monotonicMillis());
            late = queue.takeRefused();
        }
        next.forEach(this::run);
        late.forEach(this::refuse);
    }

    private void finish(Arrival arrival, SendOutcome sent, Throwable failure) {
        if (failure != null) {
            arrival.answer().completeExceptionally(failure);
            return;
        }
        switch (sent) {
            case SendOutcome.Whole whole -> {
                metrics.count(TargetMetrics.Outcome.ANSWERED);
                HttpHeaders headers =
                        MeshHeaders.endToEnd(whole.answer().headers())
                                .set(MeshHeaders.LOAD, load().text());
                arrival.answer()
                        .complete(
                                new HttpAnswer(
                                        whole.answer().status(), headers, whole.answer().body()));
            }
            case SendOutcome.NeverSent never -> refuse(arrival, never.reason(), 1);
            case SendOutcome.Lost lost -> {
                metrics.count(TargetMetrics.Outcome.LOST);
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

    private LoadReport load() {
        synchronized (queue) {
            return new LoadReport(queue.running(), queue.waiting(), queue.limit(), draining);
        }
    }

    private void refuse(RefusedCall<Arrival> refused) {
        refuse(refused.call(), refused.refusal().reason(), refused.refusal().retryAfterMillis());
    }

    private void refuse(Arrival arrival, String reason, long retryAfterMillis) {
        metrics.count(TargetMetrics.Outcome.REFUSED);
        LoadReport load = load();
        LOGGER.info(
                "event=call_refused request={} caller={} reason={} load={} retry_after_ms={}",
                arrival.requestId(),
                arrival.caller().text(),
                reason,
                load.text(),
                retryAfterMillis);
        arrival.answer()
                .complete(
                        CallAnswers.notRun(503, reason, Optional.of(retryAfterMillis))
                                .with(MeshHeaders.LOAD, load.text()));
    }
}
