package org.cuminreach.node.caller;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.OptionalLong;
import java.util.Set;
import org.cuminreach.decisions.configuration.Sha256;
import org.cuminreach.decisions.poison.PoisonRequestTable;
import org.cuminreach.decisions.retry.AttemptOutcome;
import org.cuminreach.runtime.http.HttpCall;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Blocks requests that crash their targets from reaching further targets. A request is identified
 * by its method, host, path and body, regardless of the caller. Thread-safe.
 */
final class PoisonFilter {
    private static final Logger LOGGER = LoggerFactory.getLogger(PoisonFilter.class);

    /** Failures that a running target or the caller can cause as well, so no sign of a crash. */
    private static final Set<String> NON_CRASH_REASONS =
            Set.of("timeout", "abandoned", "malformed_answer", "answer_without_identity");

    private final PoisonRequestTable table = PoisonRequestTable.empty();

    /** Returns how long to refuse a call, in milliseconds, or empty if it may run. */
    synchronized OptionalLong remainingRefusalMillis(HttpCall call, long nowMillis) {
        if (table.isEmpty()) {
            return OptionalLong.empty();
        }
        return table.remainingRefusalMillis(fingerprint(call), nowMillis);
    }

    /** Records an attempt and returns whether the call was suspected before it. */
    synchronized boolean record(
            HttpCall call, String requestId, String node, AttemptOutcome outcome, long nowMillis) {
        boolean lost =
                outcome instanceof AttemptOutcome.MayHaveRun unanswered
                        && !NON_CRASH_REASONS.contains(unanswered.reason());
        if (table.isEmpty() && !lost) {
            return false;
        }
        String fingerprint = fingerprint(call);
        boolean suspected = table.isSuspect(fingerprint);
        if (lost) {
            table.recordLoss(fingerprint, node, nowMillis);
            LOGGER.info(
                    "event=target_lost request={} fingerprint={} node={} outcome={} refused={}",
                    requestId,
                    fingerprint,
                    node,
                    outcome,
                    table.remainingRefusalMillis(fingerprint, nowMillis).isPresent());
        } else if (suspected && outcome instanceof AttemptOutcome.Answered) {
            table.recordAnswer(fingerprint);
            LOGGER.info(
                    "event=request_cleared request={} fingerprint={} node={}",
                    requestId,
                    fingerprint,
                    node);
        }
        return suspected;
    }

    private static String fingerprint(HttpCall call) {
        MessageDigest digest = Sha256.newDigest();
        String line = call.method() + " " + call.header("Host", "") + " " + call.uri() + "\n";
        digest.update(line.getBytes(StandardCharsets.UTF_8));
        return HexFormat.of().formatHex(digest.digest(call.body()));
    }
}
