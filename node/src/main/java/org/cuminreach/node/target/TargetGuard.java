package org.cuminreach.node.target;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.cuminreach.decisions.admission.AdmissionOutcome;
import org.cuminreach.decisions.admission.Caller;
import org.cuminreach.decisions.admission.Demand;
import org.cuminreach.decisions.admission.FairQueue;
import org.cuminreach.decisions.admission.RefusedCall;
import org.cuminreach.decisions.admission.ServiceTimes;
import org.cuminreach.decisions.routing.LoadReport;
import org.cuminreach.decisions.routing.RouteMetadata;
import org.cuminreach.node.http.CallAnswers;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.http.SendOutcome;
import org.cuminreach.node.settings.TargetDescription;
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
            Demand demand,
            long arrivedNanos,
            CompletableFuture<HttpAnswer> answer) {
        private String caller() {
            return demand.caller().text();
        }
    }

    private final String node;
    private final Supplier<Optional<TargetDescription>> target;
    private final TargetClient client;
    private final TargetProtocol protocol;
    private final FairQueue<Arrival> queue = FairQueue.ofSlots(1);
    private final TargetMetrics metrics;
    private final ServiceTimes times = ServiceTimes.unknown();
    private int slots = 1;
    private volatile String draining = "";
    private volatile long drainFromMillis = Long.MAX_VALUE;

    private TargetGuard(
            String node,
            Supplier<Optional<TargetDescription>> target,
            TargetClient client,
            TargetProtocol protocol,
            TargetMetrics metrics) {
        this.node = node;
        this.target = target;
        this.client = client;
        this.protocol = protocol;
        this.metrics = metrics;
    }

    /**
     * Returns the guard of a target.
     *
     * @param node name of the node beside it
     * @param target tells the target as last described
     * @param client sends calls to it
     * @param protocol headers that it expects and gives
     * @param metrics counts what comes of calls
     * @return the guard
     */
    public static TargetGuard create(
            String node,
            Supplier<Optional<TargetDescription>> target,
            TargetClient client,
            TargetProtocol protocol,
            TargetMetrics metrics) {
        return new TargetGuard(node, target, client, protocol, metrics);
    }

    @Override
    public CompletableFuture<HttpAnswer> handle(HttpCall call) {
        long nowMillis = ProcessClock.monotonicMillis();
        RouteMetadata terms = RouteMetadata.parse(call.header(MeshHeaders.ROUTE, ""));
        Arrival arrival =
                new Arrival(
                        call,
                        call.header(MeshHeaders.REQUEST_ID, ""),
                        demand(call, terms, nowMillis),
                        System.nanoTime(),
                        new CompletableFuture<>());
        Optional<String> refusal = refusal(call, nowMillis);
        if (refusal.isPresent()) {
            refuse(arrival, refusal.get(), DRAINING_RETRY_MILLIS);
            return arrival.answer();
        }
        AdmissionOutcome outcome;
        List<RefusedCall<Arrival>> displaced;
        synchronized (queue) {
            outcome = queue.arrive(arrival, arrival.demand(), nowMillis);
            displaced = queue.takeRefused();
        }
        displaced.forEach(this::refuse);
        switch (outcome) {
            case AdmissionOutcome.Run run -> run(arrival);
            case AdmissionOutcome.Queued queued ->
                    LOGGER.info(
                            "event=call_queued request={} caller={}",
                            arrival.requestId(),
                            arrival.caller());
            case AdmissionOutcome.Refused refused ->
                    refuse(arrival, refused.reason(), refused.retryAfterMillis());
        }
        return arrival.answer();
    }

    /** Turns the times that a call has left into times of this node's clock. */
    private Demand demand(HttpCall call, RouteMetadata terms, long nowMillis) {
        long remaining =
                CallAnswers.number(call, MeshHeaders.REMAINING_MILLIS, DEFAULT_REMAINING_MILLIS);
        long objective =
                terms.objectiveMillis() == RouteMetadata.NO_OBJECTIVE
                        ? Demand.NO_OBJECTIVE
                        : nowMillis + terms.objectiveMillis();
        double usualMillis;
        synchronized (queue) {
            usualMillis = times.usualMillis(terms.route());
        }
        return new Demand(
                Caller.parse(call.header(MeshHeaders.CALLER, call.remoteHost())),
                terms.route(),
                terms.priority(),
                nowMillis,
                objective,
                nowMillis + remaining,
                usualMillis);
    }

    /** Tells why a call cannot go to the target as it is now. */
    private Optional<String> refusal(HttpCall call, long nowMillis) {
        Optional<TargetDescription> present = target.get();
        if (!call.header(MeshHeaders.TARGET_NODE, node).equals(node)) {
            return Optional.of(MeshHeaders.OTHER_NODE);
        }
        if (present.isEmpty()) {
            return Optional.of(MeshHeaders.NO_TARGET);
        }
        String instance = present.get().instance();
        if (!call.header(MeshHeaders.TARGET_START, instance).equals(instance)) {
            return Optional.of(MeshHeaders.OTHER_TARGET);
        }
        if (draining.equals(instance) && nowMillis >= drainFromMillis) {
            return Optional.of("draining");
        }
        follow(present.get());
        return Optional.empty();
    }

    private void follow(TargetDescription present) {
        synchronized (queue) {
            if (slots != present.slots()) {
                slots = present.slots();
                queue.resize(slots);
            }
        }
    }

    /**
     * Lets time pass: refuses the calls that can no longer start in time.
     *
     * @param nowMillis present time
     */
    public void tick(long nowMillis) {
        List<RefusedCall<Arrival>> expired;
        synchronized (queue) {
            expired =
                    nowMillis >= drainFromMillis && isPresent(draining)
                            ? queue.empty("draining")
                            : queue.expire(nowMillis);
        }
        expired.forEach(this::refuse);
    }

    private boolean isPresent(String instance) {
        return target.get().map(TargetDescription::instance).equals(Optional.of(instance));
    }

    /**
     * Refuses calls for the present target from a time on, those that wait included. A target that
     * starts later takes calls again.
     *
     * @param fromMillis the time
     */
    public void drain(long fromMillis) {
        drainFromMillis = fromMillis;
        draining = target.get().map(TargetDescription::instance).orElse("");
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
        long remaining = arrival.demand().deadlineMillis() - ProcessClock.monotonicMillis();
        send(arrival, remaining)
                .whenComplete(
                        (sent, failure) -> {
                            double ranMillis = (System.nanoTime() - begunNanos) / NANOS_PER_MILLI;
                            metrics.ended(ranMillis);
                            release(arrival, ranMillis, sent);
                            finish(arrival, ranMillis, sent, failure);
                        });
    }

    private CompletableFuture<SendOutcome> send(Arrival arrival, long remainingMillis) {
        Optional<TargetDescription> present = target.get();
        if (present.isEmpty() || remainingMillis <= 0) {
            return CompletableFuture.completedFuture(new SendOutcome.NeverSent("deadline_passed"));
        }
        HttpHeaders headers =
                MeshHeaders.endToEnd(arrival.call().headers())
                        .remove(MeshHeaders.TARGET_NODE)
                        .remove(MeshHeaders.TARGET_START);
        TargetCall told =
                new TargetCall(
                        arrival.requestId(),
                        arrival.demand().caller(),
                        remainingMillis,
                        arrival.call().header(MeshHeaders.TARGET_START, present.get().instance()));
        return client.send(
                        present.get().address(),
                        arrival.call(),
                        protocol.toTarget(headers, told),
                        answer -> protocol.belongsTo(answer, arrival.requestId()),
                        remainingMillis)
                .thenApply(this::read);
    }

    private SendOutcome read(SendOutcome sent) {
        return sent instanceof SendOutcome.Whole whole ? protocol.read(whole.answer()) : sent;
    }

    private void release(Arrival arrival, double ranMillis, SendOutcome sent) {
        List<Arrival> next;
        List<RefusedCall<Arrival>> late;
        synchronized (queue) {
            double slowness = times.slowness(arrival.demand().route(), ranMillis);
            if (sent instanceof SendOutcome.Whole) {
                times.note(arrival.demand().route(), ranMillis);
            }
            next =
                    queue.release(
                            arrival.demand(), ranMillis, slowness, ProcessClock.monotonicMillis());
            late = queue.takeRefused();
        }
        next.forEach(this::run);
        late.forEach(this::refuse);
    }

    private void finish(Arrival arrival, double ranMillis, SendOutcome sent, Throwable failure) {
        SendOutcome known = failure == null ? sent : new SendOutcome.Lost("sender_failed");
        if (known instanceof SendOutcome.Whole) {
            metrics.count(TargetMetrics.Outcome.ANSWERED);
        } else {
            metrics.count(TargetMetrics.Outcome.LOST);
            LOGGER.info("event=call_unanswered request={} outcome={}", arrival.requestId(), known);
        }
        arrival.answer()
                .complete(
                        CallAnswers.ofTarget(known)
                                .setHeader(MeshHeaders.LOAD, load((int) ranMillis).text()));
    }

    private LoadReport load(int ranMillis) {
        synchronized (queue) {
            return new LoadReport(
                    queue.running(),
                    queue.waiting(),
                    queue.limit(),
                    !draining.isEmpty() && isPresent(draining),
                    ranMillis,
                    queue.waiting() == 0
                            ? List.of()
                            : queue.expectedWaitsMillis(ProcessClock.monotonicMillis()));
        }
    }

    private void refuse(RefusedCall<Arrival> refused) {
        refuse(refused.call(), refused.refusal().reason(), refused.refusal().retryAfterMillis());
    }

    private void refuse(Arrival arrival, String reason, long retryAfterMillis) {
        metrics.count(TargetMetrics.Outcome.REFUSED);
        LoadReport load = load(0);
        LOGGER.info(
                "event=call_refused request={} caller={} reason={} load={} retry_after_ms={}",
                arrival.requestId(),
                arrival.caller(),
                reason,
                load.text(),
                retryAfterMillis);
        arrival.answer()
                .complete(
                        CallAnswers.notRun(503, reason, Optional.of(retryAfterMillis))
                                .setHeader(MeshHeaders.LOAD, load.text()));
    }
}
