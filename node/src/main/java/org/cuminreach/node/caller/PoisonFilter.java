package org.cuminreach.node.caller;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.OptionalLong;
import java.util.Set;
import org.cuminreach.decisions.configuration.Sha256;
import org.cuminreach.decisions.poison.PoisonTable;
import org.cuminreach.decisions.retry.AttemptOutcome;
import org.cuminreach.runtime.http.HttpCall;

/**
 * Keeps requests that crash their targets from the next ones. A request is told by its method,
 * host, path and body, whoever sends it. Safe for use by several threads.
 */
final class PoisonFilter {
    /** Ends of a call that a live target can cause as well, or its caller. */
    private static final Set<String> NO_SIGN_OF_A_CRASH =
            Set.of("timeout", "abandoned", "malformed_answer", "answer_without_identity");

    private final PoisonTable table = PoisonTable.empty();

    /** Returns for how long a call is refused, in milliseconds, or empty when it may run. */
    synchronized OptionalLong refusedForMillis(HttpCall call, long nowMillis) {
        if (table.isEmpty()) {
            return OptionalLong.empty();
        }
        return table.refusedForMillis(fingerprint(call), nowMillis);
    }

    /** Notes an attempt; returns whether the call was suspected before it. */
    synchronized boolean note(HttpCall call, String node, AttemptOutcome outcome, long nowMillis) {
        boolean lost =
                outcome instanceof AttemptOutcome.MayHaveRun unanswered
                        && !NO_SIGN_OF_A_CRASH.contains(unanswered.reason());
        if (table.isEmpty() && !lost) {
            return false;
        }
        String fingerprint = fingerprint(call);
        boolean suspected = table.isSuspect(fingerprint);
        if (lost) {
            table.lost(fingerprint, node, nowMillis);
        } else if (outcome instanceof AttemptOutcome.Answered) {
            table.answered(fingerprint);
        }
        return suspected;
    }

    private static String fingerprint(HttpCall call) {
        MessageDigest digest = Sha256.begin();
        String line = call.method() + " " + call.header("Host", "") + " " + call.uri() + "\n";
        digest.update(line.getBytes(StandardCharsets.UTF_8));
        return HexFormat.of().formatHex(digest.digest(call.body()));
    }
}
