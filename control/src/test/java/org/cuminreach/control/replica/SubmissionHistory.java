package org.cuminreach.control.replica;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.cuminreach.decisions.configuration.HistoryEntry;
import org.cuminreach.decisions.configuration.SubmissionOutcome;

/**
 * Records the submissions of operators with their results and checks that they are linearizable.
 * The versions in the results determine the order, so no search is needed.
 */
final class SubmissionHistory {
    /** One attempt; an attempt without a result is Unknown and never ends. */
    record Attempt(String key, long basedOn, long startNanos, long endNanos, SubmitResult result) {}

    private final List<Attempt> attempts = new ArrayList<>();

    synchronized void add(Attempt attempt) {
        attempts.add(attempt);
    }

    synchronized Map<String, SubmissionOutcome> outcomesByKey() {
        Map<String, SubmissionOutcome> outcomes = new HashMap<>();
        for (Attempt attempt : attempts) {
            if (attempt.result() instanceof SubmitResult.Decided decided) {
                SubmissionOutcome earlier = outcomes.putIfAbsent(attempt.key(), decided.outcome());
                assertWithMessage("first outcome of %s", attempt.key())
                        .that(decided.outcome())
                        .isEqualTo(earlier == null ? decided.outcome() : earlier);
            }
        }
        return outcomes;
    }

    /** Checks the attempts against the accepted documents, whose actor is the submission key. */
    synchronized void checkLinearizable(List<HistoryEntry> accepted) {
        TreeMap<Long, String> order = new TreeMap<>();
        accepted.forEach(entry -> order.put(entry.version(), entry.actor()));
        assertWithMessage("accepted keys, each once")
                .that(new HashSet<>(order.values()))
                .hasSize(order.size());
        checkAccepted(order);
        checkNotRun(order);
        checkRealTimeOrder();
    }

    private void checkAccepted(TreeMap<Long, String> order) {
        Map<Long, String> acceptedByBase = new HashMap<>();
        for (Attempt attempt : attempts) {
            if (!(attempt.result() instanceof SubmitResult.Decided decided)) {
                continue;
            }
            switch (decided.outcome()) {
                case SubmissionOutcome.Accepted accepted -> {
                    assertThat(order.get(accepted.version())).isEqualTo(attempt.key());
                    Long previous = order.lowerKey(accepted.version());
                    assertThat(attempt.basedOn()).isEqualTo(previous == null ? 0 : previous);
                    String other = acceptedByBase.putIfAbsent(attempt.basedOn(), attempt.key());
                    assertThat(other == null || other.equals(attempt.key())).isTrue();
                }
                case SubmissionOutcome.RefusedAsStale stale -> {
                    assertThat(stale.currentVersion()).isNotEqualTo(attempt.basedOn());
                    assertThat(order.values()).doesNotContain(attempt.key());
                }
                case SubmissionOutcome.RefusedAsFaulty faulty ->
                        throw new AssertionError(
                                "a valid document was refused as faulty: " + faulty);
            }
        }
    }

    /** Checks that no key was accepted whose attempts were all rejected as not run. */
    private void checkNotRun(TreeMap<Long, String> order) {
        Set<String> possiblyRun = new HashSet<>();
        attempts.stream()
                .filter(attempt -> !(attempt.result() instanceof SubmitResult.NotRun))
                .forEach(attempt -> possiblyRun.add(attempt.key()));
        assertThat(possiblyRun).containsAtLeastElementsIn(order.values());
    }

    /** Checks that no outcome is older than one returned before its key was first submitted. */
    private void checkRealTimeOrder() {
        Map<String, Long> firstStart = new HashMap<>();
        attempts.forEach(
                attempt -> firstStart.merge(attempt.key(), attempt.startNanos(), Math::min));
        for (Attempt later : attempts) {
            for (Attempt earlier : attempts) {
                boolean ordered = earlier.endNanos() < firstStart.get(later.key());
                if (ordered && knownVersion(earlier) > 0 && knownVersion(later) > 0) {
                    assertThat(knownVersion(later)).isAtLeast(knownVersion(earlier));
                }
            }
        }
    }

    private static long knownVersion(Attempt attempt) {
        if (!(attempt.result() instanceof SubmitResult.Decided decided)) {
            return 0;
        }
        return switch (decided.outcome()) {
            case SubmissionOutcome.Accepted accepted -> accepted.version();
            case SubmissionOutcome.RefusedAsStale stale -> stale.currentVersion();
            case SubmissionOutcome.RefusedAsFaulty faulty -> 0;
        };
    }
}
