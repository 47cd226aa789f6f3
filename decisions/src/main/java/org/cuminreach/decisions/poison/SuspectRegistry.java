package org.cuminreach.decisions.poison;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

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

    /** Reports that tell all of one request: its losses and its answer. */
    private static final int MAX_REPORTS_OF_REQUEST = 2;

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

    /** Each record by its latest change. Entries of removed records stay until they are met. */
    private final NavigableMap<Long, String> fingerprintsByRevision = new TreeMap<>();

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
        suspects.removeExpired(suspect -> suspect.isExpired(nowMillis), nowMillis);
        if (fingerprintsByRevision.size() > 2 * MAX_FINGERPRINTS + suspects.size()) {
            fingerprintsByRevision
                    .entrySet()
                    .removeIf(entry -> changedAt(entry.getKey(), entry.getValue()).isEmpty());
        }
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
        recordChange(lost.fingerprint(), suspect);
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
        recordChange(answered.fingerprint(), suspect);
        suspects.put(answered.fingerprint(), suspect, suspect.losses.size() > 1);
        return true;
    }

    private void recordChange(String fingerprint, Suspect suspect) {
        fingerprintsByRevision.remove(suspect.revision);
        suspect.revision = ++revision;
        fingerprintsByRevision.put(revision, fingerprint);
    }

    private Optional<Suspect> changedAt(long changeRevision, String fingerprint) {
        return suspects.get(fingerprint).filter(suspect -> suspect.revision == changeRevision);
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
        return changesForNodes(heldRevision, Integer.MAX_VALUE, nowMillis).reports();
    }

    /**
     * Returns the first changes that a node lacks, in order.
     *
     * @param heldRevision revision up to which the node has everything
     * @param maxReports maximum number of reports, two at least
     * @param nowMillis current time
     * @return changes of requests that are shared with nodes
     */
    public SuspectChanges changesForNodes(long heldRevision, int maxReports, long nowMillis) {
        return changes(heldRevision, maxReports, true, nowMillis);
    }

    /**
     * Returns the first changes that another control lacks, in order.
     *
     * @param heldRevision revision up to which the control has everything
     * @param maxReports maximum number of reports, two at least
     * @param nowMillis current time
     * @return changes of all requests
     */
    public SuspectChanges changesForControls(long heldRevision, int maxReports, long nowMillis) {
        return changes(heldRevision, maxReports, false, nowMillis);
    }

    private SuspectChanges changes(
            long heldRevision, int maxReports, boolean sharedOnly, long nowMillis) {
        List<SuspectReport> reports = new ArrayList<>();
        long reached = heldRevision;
        Iterator<Map.Entry<Long, String>> later =
                fingerprintsByRevision.tailMap(heldRevision, false).entrySet().iterator();
        while (later.hasNext()) {
            Map.Entry<Long, String> entry = later.next();
            Optional<Suspect> suspect = changedAt(entry.getKey(), entry.getValue());
            if (suspect.isEmpty()) {
                later.remove();
                continue;
            }
            if (suspect.get().shared || !sharedOnly) {
                if (reports.size() > maxReports - MAX_REPORTS_OF_REQUEST) {
                    return new SuspectChanges(reports, reached);
                }
                addReports(entry.getValue(), suspect.get(), nowMillis, reports);
            }
            reached = entry.getKey();
        }
        return new SuspectChanges(reports, revision);
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
