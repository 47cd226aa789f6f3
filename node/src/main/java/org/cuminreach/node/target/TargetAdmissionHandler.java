package org.cuminreach.node.target;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cuminreach.decisions.admission.AdmissionOutcome;
import org.cuminreach.decisions.admission.AdmissionRequest;
import org.cuminreach.decisions.admission.FairQueue;
import org.cuminreach.decisions.admission.RefusedCall;
import org.cuminreach.decisions.admission.RunTimes;
import org.cuminreach.decisions.routing.CallRateLimit;
import org.cuminreach.decisions.routing.LoadReport;
import org.cuminreach.decisions.routing.RouteMetadata;
import org.cuminreach.decisions.routing.TargetFilter;
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

/**
 * Admission control of the target next to the node: admits as many concurrent calls as the target
 * has slots, and shares them fairly among callers.
 */
public final class TargetAdmissionHandler implements HttpHandler {
    private static final Logger LOGGER = LoggerFactory.getLogger(TargetAdmissionHandler.class);
    static final long DRAINING_RETRY_MILLIS = 1_000;
    private static final double NANOS_PER_MILLI = 1_000_000;

    private final String node;
    private final Supplier<Optional<TargetDescription>> target;
    private final TargetClient client;
    private final TargetProtocol protocol;
    private final FairQueue<PendingCall> queue = FairQueue.ofSlots(1);
    private final TargetMetrics metrics;
    private final RunTimes runTimes = RunTimes.empty();
    private final ColdTarget coldTarget;
    private final TargetNotices notices;
    private int slots = 1;
    private volatile Consumer<String> leavingListener = instance -> {};
    private volatile Runnable coldListener = () -> {};
    private volatile BooleanSupplier evacuationCheck = () -> false;
    private volatile String drainingInstance = "";
    private volatile long drainFromMillis = Long.MAX_VALUE;

    private TargetAdmissionHandler(
            String node,
            Supplier<Optional<TargetDescription>> target,
            TargetClient client,
            TargetProtocol protocol,
            TargetMetrics metrics,
            ColdSettings coldSettings) {
        this.node = node;
        this.target = target;
        this.client = client;
        this.protocol = protocol;
        this.metrics = metrics;
        coldTarget = new ColdTarget(coldSettings);
        notices = new TargetNotices(coldTarget);
    }

    /**
     * Returns the admission handler of a target.
     *
     * @param node name of the node next to it
     * @param target supplies the latest description of the target
     * @param client sends calls to it
     * @param protocol its header conventions
     * @param metrics metrics of its calls
     * @param coldSettings what is known of cold targets
     * @return the handler
     */
    public static TargetAdmissionHandler create(
            String node,
            Supplier<Optional<TargetDescription>> target,
            TargetClient client,
            TargetProtocol protocol,
            TargetMetrics metrics,
            ColdSettings coldSettings) {
        return new TargetAdmissionHandler(node, target, client, protocol, metrics, coldSettings);
    }

    @Override
    public CompletableFuture<HttpAnswer> handle(HttpCall call) {
        long nowMillis = ProcessClock.monotonicMillis();
        PendingCall pending = pendingCall(call, nowMillis);
        Optional<String> refusal = refusalReason(pending, nowMillis);
        if (refusal.isPresent()) {
            refuse(pending, refusal.get(), DRAINING_RETRY_MILLIS);
            return pending.answer();
        }
        AdmissionOutcome outcome;
        List<RefusedCall<PendingCall>> displaced;
        synchronized (queue) {
            outcome = queue.offer(pending, pending.admissionRequest(), nowMillis);
            displaced = queue.takeRefused();
        }
        displaced.forEach(this::refuse);
        switch (outcome) {
            case AdmissionOutcome.Run run -> run(pending);
            case AdmissionOutcome.Queued queued -> pending.logQueued();
            case AdmissionOutcome.Refused refused ->
                    refuse(pending, refused.reason(), refused.retryAfterMillis());
        }
        return pending.answer();
    }

    /** Returns a call that has arrived, with the running time that is typical for its route. */
    PendingCall pendingCall(HttpCall call, long nowMillis) {
        RouteMetadata route = RouteMetadata.parse(call.header(MeshHeaders.ROUTE, ""));
        synchronized (queue) {
            double typicalRunMillis = runTimes.typicalRunMillis(route.route());
            return PendingCall.of(call, route, typicalRunMillis, nowMillis);
        }
    }

    /** Returns why the current target cannot take a call, or empty when it can. */
    Optional<String> refusalReason(PendingCall pending, long nowMillis) {
        Optional<TargetDescription> current = target.get();
        Optional<String> reason =
                pending.misdirection(node, current).or(() -> reasonToRefuseAll(nowMillis));
        if (reason.isPresent() || current.isEmpty()) {
            return reason;
        }
        HttpCall call = pending.call();
        notices.adoptLimit(
                current.get().instance(),
                CallRateLimit.parse(call.header(MeshHeaders.TARGET_LIMIT, "")));
        coldTarget.adopt(call.headers(), nowMillis);
        applyDescription(current.get(), nowMillis);
        return Optional.empty();
    }

    private void applyDescription(TargetDescription current, long nowMillis) {
        synchronized (queue) {
            queue.setRateLimit(notices.limit(current.instance()), nowMillis);
            queue.setColdLimit(coldTarget.limit(current, nowMillis), nowMillis);
            if (slots != current.slots()) {
                slots = current.slots();
                queue.resize(slots);
            }
        }
        if (coldTarget.takeChange()) {
            coldListener.run();
        }
    }

    /**
     * Sets the listener for targets that state that they are about to stop.
     *
     * @param listener gets the start of the target, once
     */
    public void setLeavingListener(Consumer<String> listener) {
        leavingListener = listener;
    }

    /**
     * Sets the listener for changes between cold and warm.
     *
     * @param listener called after each change
     */
    public void setColdListener(Runnable listener) {
        coldListener = listener;
    }

    /**
     * Sets what tells whether the data centre of the target is evacuated.
     *
     * @param check true while the target must get no calls
     */
    public void setEvacuationCheck(BooleanSupplier check) {
        evacuationCheck = check;
    }

    /**
     * Starts the waiting calls for which there is room, and refuses those that can no longer start
     * in time, or all while the target drains or its data centre is evacuated.
     *
     * @param nowMillis current time
     */
    public void onTimer(long nowMillis) {
        List<RefusedCall<PendingCall>> expired;
        List<PendingCall> started;
        target.get().ifPresent(current -> applyDescription(current, nowMillis));
        synchronized (queue) {
            expired =
                    reasonToRefuseAll(nowMillis)
                            .map(reason -> queue.refuseAll(reason, nowMillis))
                            .orElseGet(() -> queue.expire(nowMillis));
            started = queue.startWaiting(nowMillis);
        }
        expired.forEach(this::refuse);
        started.forEach(this::run);
    }

    /** Returns why the current target takes no calls at all, or empty when it does. */
    private Optional<String> reasonToRefuseAll(long nowMillis) {
        if (evacuationCheck.getAsBoolean()) {
            return Optional.of(TargetFilter.EVACUATED);
        }
        return nowMillis >= drainFromMillis && isCurrentInstance(drainingInstance)
                ? Optional.of("draining")
                : Optional.empty();
    }

    private boolean isCurrentInstance(String instance) {
        return target.get().map(TargetDescription::instance).equals(Optional.of(instance));
    }

    /**
     * Refuses calls to the current target from a time on, including waiting ones. Calls to a later
     * start of the target are accepted again.
     *
     * @param fromMillis the time
     */
    public void drain(long fromMillis) {
        drainFromMillis = fromMillis;
        drainingInstance = target.get().map(TargetDescription::instance).orElse("");
    }

    /**
     * Returns the number of calls that run at the target.
     *
     * @return number of running calls
     */
    public int running() {
        synchronized (queue) {
            return queue.running();
        }
    }

    /**
     * Returns the number of calls that wait for a slot.
     *
     * @return number of waiting calls
     */
    public int waiting() {
        synchronized (queue) {
            return queue.waiting();
        }
    }

    /**
     * Returns the limit that the target states.
     *
     * @return calls per second, 0 when it states none
     */
    public double limitPerSecond() {
        return notices.limitPerSecond();
    }

    /**
     * Returns what is known of the coldness of the target.
     *
     * @return knowledge that is kept up to date
     */
    public ColdTarget coldTarget() {
        return coldTarget;
    }

    private void run(PendingCall pending) {
        long startNanos = System.nanoTime();
        metrics.recordStart(startNanos - pending.arrivalNanos());
        long remaining =
                pending.admissionRequest().deadlineMillis() - ProcessClock.monotonicMillis();
        send(pending, remaining)
                .whenComplete(
                        (sent, failure) -> {
                            double runMillis = (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
                            metrics.recordEnd(runMillis);
                            release(pending, runMillis, sent);
                            answer(pending, runMillis, sent, failure);
                        });
    }

    private CompletableFuture<SendOutcome> send(PendingCall pending, long remainingMillis) {
        Optional<TargetDescription> current = target.get();
        boolean keyHolds = pending.keyValidity().holdsNow();
        if (current.isEmpty() || remainingMillis <= 0 || !keyHolds) {
            String reason = keyHolds ? "deadline_passed" : "no_lease";
            return CompletableFuture.completedFuture(new SendOutcome.NotSent(reason));
        }
        String instance = current.get().instance();
        TargetCallMetadata metadata = pending.metadata(instance, remainingMillis);
        notices.recordSent(instance, ProcessClock.monotonicMillis());
        return client.send(
                        current.get().address(),
                        pending.call(),
                        protocol.requestHeaders(pending.headersForTarget(), metadata),
                        ExpectedAnswer.of(protocol, pending.requestId()),
                        remainingMillis)
                .thenApply(sent -> read(sent, instance));
    }

    private SendOutcome read(SendOutcome sent, String instance) {
        if (sent instanceof SendOutcome.NotSent notSent
                && notSent.reason().equals(TargetClient.CANNOT_CONNECT)) {
            coldTarget.recordUnreachable(ProcessClock.monotonicMillis());
        }
        if (!(sent instanceof SendOutcome.Completed completed)) {
            return sent;
        }
        if (protocol.isFromAddressedTarget(completed.answer()) && isCurrentInstance(instance)) {
            recordNotice(instance, protocol.readNotice(completed.answer().headers()));
        }
        return protocol.readAnswer(completed.answer());
    }

    private void recordNotice(String instance, TargetNotice notice) {
        long nowMillis = ProcessClock.monotonicMillis();
        boolean isFirstLeaving = notices.record(instance, notice, nowMillis);
        if (notice.coldMillis().isPresent()) {
            coldTarget.record(instance, notice.coldMillis(), nowMillis);
        }
        target.get().ifPresent(current -> applyDescription(current, nowMillis));
        if (isFirstLeaving) {
            leavingListener.accept(instance);
        }
    }

    private void release(PendingCall pending, double runMillis, SendOutcome sent) {
        AdmissionRequest request = pending.admissionRequest();
        List<PendingCall> next;
        List<RefusedCall<PendingCall>> refused;
        synchronized (queue) {
            long nowMillis = ProcessClock.monotonicMillis();
            double slowness = runTimes.slowness(request.route(), runMillis);
            if (sent instanceof SendOutcome.NotSent) {
                queue.cancelStart();
            }
            if (sent instanceof SendOutcome.Completed completed
                    && !CallAnswers.isFailure(completed.answer().status())) {
                runTimes.record(request.route(), runMillis);
                next = queue.release(request, runMillis, slowness, nowMillis);
            } else {
                next = queue.releaseFailed(request, runMillis, slowness, nowMillis);
            }
            refused = queue.takeRefused();
        }
        next.forEach(this::run);
        refused.forEach(this::refuse);
    }

    private void answer(
            PendingCall pending, double runMillis, SendOutcome sent, Throwable failure) {
        SendOutcome outcome = failure == null ? sent : new SendOutcome.Lost("sender_failed");
        boolean answered = outcome instanceof SendOutcome.Completed;
        metrics.count(answered ? TargetMetrics.Outcome.ANSWERED : TargetMetrics.Outcome.LOST);
        if (!answered) {
            LOGGER.info(
                    "event=call_unanswered request={} outcome={}", pending.requestId(), outcome);
        }
        HttpAnswer answer =
                CallAnswers.fromTarget(outcome)
                        .setHeader(MeshHeaders.LOAD, loadReport((int) runMillis).text());
        HttpAnswer noticed = notices.addTo(answer, pending.targetStart());
        pending.answer().complete(pending.withHeldTime(noticed, System.nanoTime()));
    }

    private LoadReport loadReport(int runMillis) {
        boolean draining = !drainingInstance.isEmpty() && isCurrentInstance(drainingInstance);
        synchronized (queue) {
            return notices.report(queue, draining, runMillis, ProcessClock.monotonicMillis());
        }
    }

    private void refuse(RefusedCall<PendingCall> refused) {
        refuse(refused.call(), refused.refusal().reason(), refused.refusal().retryAfterMillis());
    }

    private void refuse(PendingCall pending, String reason, long retryAfterMillis) {
        pending.answer().complete(refusal(pending, reason, retryAfterMillis));
    }

    /** Counts and logs a refusal, and returns the answer to the call. */
    HttpAnswer refusal(PendingCall pending, String reason, long retryAfterMillis) {
        metrics.count(TargetMetrics.Outcome.REFUSED);
        LoadReport load = loadReport(0);
        LOGGER.info(
                "event=call_refused request={} caller={} reason={} load={} retry_after_ms={}",
                pending.requestId(),
                pending.caller(),
                reason,
                load.text(),
                retryAfterMillis);
        HttpAnswer answer =
                CallAnswers.notRun(503, reason, Optional.of(retryAfterMillis))
                        .setHeader(MeshHeaders.LOAD, load.text());
        return pending.withHeldTime(
                notices.addTo(answer, pending.targetStart()), System.nanoTime());
    }
}
