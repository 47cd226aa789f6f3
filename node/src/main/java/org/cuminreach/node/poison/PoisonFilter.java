package org.cuminreach.node.poison;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cuminreach.decisions.poison.PoisonRequestTable;
import org.cuminreach.decisions.poison.SuspectReport;
import org.cuminreach.decisions.retry.AttemptOutcome;
import org.cuminreach.node.http.CallAnswers;
import org.cuminreach.wire.frame.FrameListener;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Blocks requests that crash their targets from reaching further targets, also those that crashed
 * targets of other nodes. Thread-safe.
 */
public final class PoisonFilter {
    /** Reason code of requests that are refused since they crash their targets. */
    public static final String REFUSAL_REASON = "poisonous";

    private static final Logger LOGGER = LoggerFactory.getLogger(PoisonFilter.class);

    /** Failures that a running target or the caller can cause as well, so no sign of a crash. */
    private static final Set<String> NON_CRASH_REASONS =
            Set.of(
                    "timeout",
                    "abandoned",
                    "malformed_answer",
                    "answer_without_identity",
                    "answer_too_long",
                    "unexpected_answers");

    private final PoisonRequestTable table = PoisonRequestTable.empty();
    private final SuspectExchange exchange = new SuspectExchange(this::reports, this::merge);

    private PoisonFilter() {}

    /**
     * Returns a filter that lets all requests pass.
     *
     * @return the filter
     */
    public static PoisonFilter create() {
        return new PoisonFilter();
    }

    /**
     * Wraps the listener of a connection to a control. The filter exchanges losses over the
     * connection from the control's welcome on.
     *
     * @param listener receives all other frames
     * @return the wrapped listener
     */
    public FrameListener wrap(FrameListener listener) {
        return exchange.wrap(listener);
    }

    /**
     * Sends the controls what could not be sent before.
     *
     * @param nowMillis current time
     */
    public void onTimer(long nowMillis) {
        exchange.onTimer(nowMillis);
    }

    /**
     * Returns how long to refuse a call.
     *
     * @param request fingerprint of the call
     * @param nowMillis current time
     * @return the remaining time, in milliseconds, or empty if it may run
     */
    public synchronized OptionalLong remainingRefusalMillis(
            RequestFingerprint request, long nowMillis) {
        if (table.isEmpty()) {
            return OptionalLong.empty();
        }
        return table.remainingRefusalMillis(request.text(), nowMillis);
    }

    /**
     * Records an attempt.
     *
     * @param request fingerprint of the call
     * @param requestId request ID of the call, for the log
     * @param node name of the node next to the target
     * @param outcome outcome of the attempt
     * @param nowMillis current time
     * @return whether the outcome is no evidence about the version, since the request has lost a
     *     target before
     */
    public boolean record(
            RequestFingerprint request,
            String requestId,
            String node,
            AttemptOutcome outcome,
            long nowMillis) {
        Optional<SuspectReport> report = Optional.empty();
        boolean excused;
        synchronized (this) {
            boolean lost = isLoss(outcome);
            if (table.isEmpty() && !lost) {
                return false;
            }
            String fingerprint = request.text();
            boolean cleared = isAnsweredWithoutFailure(outcome) && table.isSuspect(fingerprint);
            excused = lost ? table.hasEarlierLoss(fingerprint, node, nowMillis) : cleared;
            if (lost) {
                table.recordLoss(fingerprint, node, nowMillis);
                report = table.report(fingerprint, nowMillis);
                LOGGER.info(
                        "event=target_lost request={} fingerprint={} node={} outcome={}"
                                + " losses={} refused={}",
                        requestId,
                        fingerprint,
                        node,
                        outcome,
                        report.map(SuspectReport::targets).orElse(List.of()),
                        table.remainingRefusalMillis(fingerprint, nowMillis).isPresent());
            } else if (cleared) {
                table.recordAnswer(fingerprint);
                report = Optional.of(new SuspectReport.Answered(fingerprint, 0));
                LOGGER.info(
                        "event=request_cleared request={} fingerprint={} node={} outcome={}",
                        requestId,
                        fingerprint,
                        node,
                        outcome);
            }
        }
        report.ifPresent(changed -> exchange.send(List.of(changed), nowMillis));
        return excused;
    }

    /**
     * Records that a target ended while it ran requests. An answer that any node got after the
     * request was interrupted clears it, however late the end of the target was certain.
     *
     * @param interruptedMillis when each request was interrupted, by fingerprint
     * @param node name of the node next to the target
     * @param nowMillis current time
     */
    void recordTargetEnd(Map<String, Long> interruptedMillis, String node, long nowMillis) {
        List<SuspectReport> changes = new ArrayList<>();
        synchronized (this) {
            interruptedMillis.forEach(
                    (fingerprint, atMillis) -> {
                        table.recordTargetEnd(fingerprint, node, atMillis);
                        table.report(fingerprint, nowMillis).ifPresent(changes::add);
                    });
        }
        exchange.send(changes, nowMillis);
    }

    private synchronized List<SuspectReport> reports(long nowMillis) {
        return table.reports(nowMillis);
    }

    private synchronized void merge(List<SuspectReport> reports, long nowMillis) {
        for (SuspectReport report : reports) {
            table.merge(report, nowMillis);
            if (table.remainingRefusalMillis(report.fingerprint(), nowMillis).isPresent()) {
                LOGGER.info("event=suspect_received report={} refused=true", report);
            } else {
                LOGGER.debug("event=suspect_received report={} refused=false", report);
            }
        }
    }

    /**
     * Returns the number of requests that are refused at present.
     *
     * @param nowMillis current time
     * @return number of fingerprints
     */
    public synchronized int refusedCount(long nowMillis) {
        return table.refusedCount(nowMillis);
    }

    private static boolean isAnsweredWithoutFailure(AttemptOutcome outcome) {
        return outcome instanceof AttemptOutcome.Answered answered
                && !CallAnswers.isFailure(answered.status());
    }

    private static boolean isLoss(AttemptOutcome outcome) {
        return outcome instanceof AttemptOutcome.MayHaveRun unanswered
                && !NON_CRASH_REASONS.contains(unanswered.reason());
    }
}
