package org.cuminreach.decisions.poison;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What a control knows of suspected requests from all nodes. Requests that have lost two targets or
 * more are shared with every node, before they are refused, so that a node that gets an answer to
 * one can clear it. Each change has a revision. Not thread-safe.
 */
public final class SuspectRegistry {
    private static final int MIN_LOSSES_TO_SHARE = 2;
    private static final long RETENTION_MILLIS = 1_800_000;

    /** Time for which an answer rejects reports of earlier losses, in milliseconds. */
    private static final long ANSWER_RETENTION_MILLIS = 60_000;

    private static final int MAX_FINGERPRINTS = 4_000;

    private static final class Suspect {
        private final LossHistory losses = new LossHistory();
        private long answeredMillis = Long.MIN_VALUE;
        private long revision;
        private boolean shared;

        boolean isExpired(long nowMillis) {
            return losses.isEmpty()
                    ? nowMillis - answeredMillis > ANSWER_RETENTION_MILLIS
                    : nowMillis - losses.latestMillis() > RETENTION_MILLIS;
        }
    }

    private final SuspectStore<Suspect> suspects = new SuspectStore<>(MAX_FINGERPRINTS);
    private long revision;

    private SuspectRegistry() {}

    /**
     * Returns a registry without requests.
     *
     * @return the registry
     */
    public static SuspectRegistry empty() {
        return new SuspectRegistry();
    }

    /**
     * Adds what a node or another control reports.
     *
     * @param report the report
     * @param nowMillis current time
     * @return false when it tells nothing new, and need not be passed on
     */
    public boolean merge(SuspectReport report, long nowMillis) {
        suspects.removeIf(suspect -> suspect.isExpired(nowMillis));
        return switch (report) {
            case SuspectReport.Lost lost -> mergeLosses(lost, nowMillis);
            case SuspectReport.Answered answered -> mergeAnswer(answered, nowMillis);
        };
    }

    private boolean mergeLosses(SuspectReport.Lost lost, long nowMillis) {
        Suspect suspect = suspects.get(lost.fingerprint()).orElseGet(Suspect::new);
        if (!suspect.losses.addAll(lost.losses(), suspect.answeredMillis, nowMillis)) {
            return false;
        }
        suspect.revision = ++revision;
        suspect.shared |= suspect.losses.size() >= MIN_LOSSES_TO_SHARE;
        suspects.put(lost.fingerprint(), suspect, suspect.losses.size() > 1);
        return true;
    }

    private boolean mergeAnswer(SuspectReport.Answered answered, long nowMillis) {
        Optional<Suspect> known = suspects.get(answered.fingerprint());
        long answeredMillis = nowMillis - answered.ageMillis();
        if (known.isEmpty() || !known.get().losses.removeUntil(answeredMillis)) {
            return false;
        }
        Suspect suspect = known.get();
        suspect.answeredMillis = Math.max(suspect.answeredMillis, answeredMillis);
        suspect.revision = ++revision;
        suspects.put(answered.fingerprint(), suspect, suspect.losses.size() > 1);
        return true;
    }

    /**
     * Returns the revision of the latest change.
     *
     * @return 0 before the first change
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns what a node lacks that has everything up to a revision.
     *
     * @param heldRevision the revision
     * @param nowMillis current time
     * @return the later changes of requests that are shared with nodes
     */
    public List<SuspectReport> changesForNodes(long heldRevision, long nowMillis) {
        List<SuspectReport> changes = new ArrayList<>();
        for (Map.Entry<String, Suspect> entry : suspects.entries()) {
            if (entry.getValue().shared && entry.getValue().revision > heldRevision) {
                addReports(entry.getKey(), entry.getValue(), nowMillis, changes);
            }
        }
        return changes;
    }

    /**
     * Returns all that is known, for another control.
     *
     * @param nowMillis current time
     * @return losses and answers
     */
    public List<SuspectReport> all(long nowMillis) {
        List<SuspectReport> all = new ArrayList<>();
        suspects.entries()
                .forEach(entry -> addReports(entry.getKey(), entry.getValue(), nowMillis, all));
        return all;
    }

    private static void addReports(
            String fingerprint, Suspect suspect, long nowMillis, List<SuspectReport> reports) {
        if (suspect.answeredMillis != Long.MIN_VALUE) {
            // An answer may have been merged after the caller read its clock.
            long ageMillis = Math.max(0, nowMillis - suspect.answeredMillis);
            reports.add(new SuspectReport.Answered(fingerprint, ageMillis));
        }
        if (!suspect.losses.isEmpty()) {
            reports.add(new SuspectReport.Lost(fingerprint, suspect.losses.reported(nowMillis)));
        }
    }
}
