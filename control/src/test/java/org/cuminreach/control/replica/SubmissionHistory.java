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
 * What operators asked and were answered, and whether one order of submissions explains it. The
 * versions in the answers fix that order, so no search is needed.
 */
final class SubmissionHistory {
    /** One attempt; an attempt without an answer is Unknown and never ends. */
    record Attempt(String key, long basedOn, long startNanos, long endNanos, SubmitResult result) {}

    private final List<Attempt> attempts = new ArrayList<>();

    synchronized void add(Attempt attempt) {
        attempts.add(attempt);
    }

    synchronized Map<String, SubmissionOutcome> outcomesByKey() {
        Map<String, SubmissionOutcome> answers = new HashMap<>();
        for (Attempt attempt : attempts) {
            if (attempt.result() instanceof SubmitResult.Decided decided) {
                SubmissionOutcome earlier = answers.putIfAbsent(attempt.key(), decided.outcome());
                assertWithMessage("first answer of %s", attempt.key())
                        .that(decided.outcome())
                        .isEqualTo(earlier == null ? decided.outcome() : earlier);
            }
        }
        return answers;
    }

    /** Checks the attempts against the accepted documents, whose operator is the key. */
    synchronized void checkLinearizable(List<HistoryEntry> accepted) {
        TreeMap<Long, String> order = new TreeMap<>();
        accepted.forEach(entry -> order.put(entry.version(), entry.actor()));
        assertWithMessage("each key once")
                .that(new HashSet<>(order.values()))
                .hasSize(order.size());
        checkAccepted(order);
        checkNotRun(order);
        checkRealTimeOrder();
    }

    private void checkAccepted(TreeMap<Long, String> order) {
        Map<Long, String> winners = new HashMap<>();
        for (Attempt attempt : attempts) {
            if (!(attempt.result() instanceof SubmitResult.Decided decided)) {
                continue;
            }
            switch (decided.outcome()) {
                case SubmissionOutcome.Accepted won -> {
                    assertThat(order.get(won.version())).isEqualTo(attempt.key());
                    Long previous = order.lowerKey(won.version());
                    assertThat(attempt.basedOn()).isEqualTo(previous == null ? 0 : previous);
                    String other = winners.putIfAbsent(attempt.basedOn(), attempt.key());
                    assertThat(other == null || other.equals(attempt.key())).isTrue();
                }
                case SubmissionOutcome.RefusedAsStale stale -> {
                    assertThat(stale.currentVersion()).isNotEqualTo(attempt.basedOn());
                    assertThat(order.values()).doesNotContain(attempt.key());
                }
                case SubmissionOutcome.RefusedAsFaulty faulty ->
                        throw new AssertionError("a sound document was refused: " + faulty);
            }
        }
    }

    /** A key whose every attempt was answered "not run" must not have run. */
    private void checkNotRun(TreeMap<Long, String> order) {
        Set<String> mayHaveRun = new HashSet<>();
        attempts.stream()
                .filter(attempt -> !(attempt.result() instanceof SubmitResult.NotRun))
                .forEach(attempt -> mayHaveRun.add(attempt.key()));
        assertThat(mayHaveRun).containsAtLeastElementsIn(order.values());
    }

    /** A first answer must not be older than what was answered before it was asked for. */
    private void checkRealTimeOrder() {
        Map<String, Long> firstAsked = new HashMap<>();
        attempts.forEach(
                attempt -> firstAsked.merge(attempt.key(), attempt.startNanos(), Math::min));
        for (Attempt later : attempts) {
            for (Attempt earlier : attempts) {
                boolean ordered = earlier.endNanos() < firstAsked.get(later.key());
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
            case SubmissionOutcome.Accepted won -> won.version();
            case SubmissionOutcome.RefusedAsStale stale -> stale.currentVersion();
            case SubmissionOutcome.RefusedAsFaulty faulty -> 0;
        };
    }
}
