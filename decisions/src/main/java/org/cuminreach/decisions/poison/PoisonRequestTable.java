package org.cuminreach.decisions.poison;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Detects poison requests: requests whose targets crash while running them, by fingerprint. A
 * request is refused for a limited time once this node has lost {@value #LOSSES_BEFORE_REFUSAL}
 * different targets under it, or all nodes together have lost three, or one target has ended three
 * times, without an answer in between; after that, one more loss refuses it again, for longer. An
 * answer to any node clears the record, so that requests that merely ran on the same target at the
 * same time as a poison request are not refused. Only answers that tell no failure are recorded.
 * Not thread-safe.
 */
public final class PoisonRequestTable {
    /** Number of different targets lost by a request at one node after which it is refused. */
    public static final int LOSSES_BEFORE_REFUSAL = 2;

    private static final long MIN_REFUSAL_MILLIS = 60_000;
    private static final long MAX_REFUSAL_MILLIS = 600_000;
    private static final long RETENTION_MILLIS = 1_800_000;
    private static final int MAX_FINGERPRINTS = 1_000;

    /** Losses of one request since its last answer. */
    private static final class Suspect {
        private final Set<String> targetsLostHere = new HashSet<>();
        private final LossHistory losses = new LossHistory();

        boolean isPoison() {
            return targetsLostHere.size() >= LOSSES_BEFORE_REFUSAL || losses.showsPoison();
        }

        void removeUntil(long millis) {
            losses.removeUntil(millis);
            targetsLostHere.retainAll(losses.targets());
        }

        long refusalMillis() {
            int furtherLosses = Math.max(0, losses.size() - LossHistory.LOSSES_IN_MESH);
            return Math.min(MAX_REFUSAL_MILLIS, MIN_REFUSAL_MILLIS << furtherLosses);
        }
    }

    private final SuspectStore<Suspect> suspects = new SuspectStore<>(MAX_FINGERPRINTS);

    private PoisonRequestTable() {}

    /**
     * Returns an empty table.
     *
     * @return a table without suspected requests
     */
    public static PoisonRequestTable empty() {
        return new PoisonRequestTable();
    }

    /**
     * Tells whether no request is suspected.
     *
     * @return true when no lookup is needed
     */
    public boolean isEmpty() {
        return suspects.isEmpty();
    }

    /**
     * Records that the connection to a target was lost while it ran a request.
     *
     * @param fingerprint fingerprint of the request
     * @param node name of the node next to the target
     * @param nowMillis current time
     */
    public void recordLoss(String fingerprint, String node, long nowMillis) {
        removeExpired(nowMillis);
        Suspect suspect = suspects.get(fingerprint).orElseGet(Suspect::new);
        if (suspect.targetsLostHere.size() < LOSSES_BEFORE_REFUSAL) {
            suspect.targetsLostHere.add(node);
        }
        suspect.losses.add(node, nowMillis, false);
        put(fingerprint, suspect);
    }

    /**
     * Records that the target next to this node ended while it ran a request, or shortly after that
     * was cancelled, whichever node had sent it.
     *
     * @param fingerprint fingerprint of the request
     * @param node name of this node
     * @param atMillis time at which the request was interrupted
     */
    public void recordTargetEnd(String fingerprint, String node, long atMillis) {
        removeExpired(atMillis);
        Suspect suspect = suspects.get(fingerprint).orElseGet(Suspect::new);
        suspect.losses.add(node, atMillis, true);
        put(fingerprint, suspect);
    }

    /**
     * Records that a target answered a request.
     *
     * @param fingerprint fingerprint of the request
     */
    public void recordAnswer(String fingerprint) {
        suspects.remove(fingerprint);
    }

    /**
     * Adds what the controls report of a request.
     *
     * @param report losses of all nodes, or an answer to one of them
     * @param nowMillis current time
     */
    public void merge(SuspectReport report, long nowMillis) {
        switch (report) {
            case SuspectReport.Lost lost -> {
                removeExpired(nowMillis);
                Suspect suspect = suspects.get(lost.fingerprint()).orElseGet(Suspect::new);
                suspect.losses.addAll(lost.losses(), Long.MIN_VALUE, nowMillis);
                if (!suspect.losses.isEmpty()) {
                    put(lost.fingerprint(), suspect);
                }
            }
            case SuspectReport.Answered answered ->
                    suspects.get(answered.fingerprint())
                            .ifPresent(
                                    suspect -> {
                                        suspect.removeUntil(nowMillis - answered.ageMillis());
                                        if (suspect.losses.isEmpty()) {
                                            suspects.remove(answered.fingerprint());
                                        }
                                    });
        }
    }

    /**
     * Returns what to report of a request to the controls.
     *
     * @param fingerprint fingerprint of the request
     * @param nowMillis current time
     * @return its losses, or empty when it is not suspected
     */
    public Optional<SuspectReport> report(String fingerprint, long nowMillis) {
        return suspects.get(fingerprint).map(suspect -> lost(fingerprint, suspect, nowMillis));
    }

    /**
     * Returns what to report to a control that does not know what this node knows.
     *
     * @param nowMillis current time
     * @return the losses of all suspected requests
     */
    public List<SuspectReport> reports(long nowMillis) {
        return suspects.entries().stream()
                .map(entry -> lost(entry.getKey(), entry.getValue(), nowMillis))
                .toList();
    }

    /**
     * Tells whether a request lost a target and has not been answered since.
     *
     * @param fingerprint fingerprint of the request
     * @return true until it is answered
     */
    public boolean isSuspect(String fingerprint) {
        return suspects.get(fingerprint).isPresent();
    }

    /**
     * Tells whether a request has lost a target before a loss that this node has just noticed.
     *
     * @param fingerprint fingerprint of the request
     * @param node name of the node next to the target that was lost now
     * @param nowMillis time of that loss
     * @return true when the loss is no evidence against the version that ran the request
     */
    public boolean hasEarlierLoss(String fingerprint, String node, long nowMillis) {
        return suspects.get(fingerprint)
                .filter(suspect -> suspect.losses.hasOther(node, nowMillis))
                .isPresent();
    }

    /**
     * Returns for how long a request is still refused.
     *
     * @param fingerprint fingerprint of the request
     * @param nowMillis current time
     * @return the remaining time, in milliseconds, or empty when the request may run
     */
    public OptionalLong remainingRefusalMillis(String fingerprint, long nowMillis) {
        Optional<Suspect> suspect = suspects.get(fingerprint).filter(Suspect::isPoison);
        if (suspect.isEmpty()) {
            return OptionalLong.empty();
        }
        long remaining =
                suspect.get().losses.latestMillis() + suspect.get().refusalMillis() - nowMillis;
        return remaining > 0 ? OptionalLong.of(remaining) : OptionalLong.empty();
    }

    /**
     * Returns the number of requests that are refused at present.
     *
     * @param nowMillis current time
     * @return number of fingerprints
     */
    public int refusedCount(long nowMillis) {
        return (int)
                suspects.entries().stream()
                        .filter(
                                entry ->
                                        remainingRefusalMillis(entry.getKey(), nowMillis)
                                                .isPresent())
                        .count();
    }

    private static SuspectReport lost(String fingerprint, Suspect suspect, long nowMillis) {
        return new SuspectReport.Lost(fingerprint, suspect.losses.reported(nowMillis));
    }

    private void put(String fingerprint, Suspect suspect) {
        suspects.put(fingerprint, suspect, suspect.isPoison() || suspect.losses.size() > 1);
    }

    private void removeExpired(long nowMillis) {
        suspects.removeExpired(
                suspect -> nowMillis - suspect.losses.latestMillis() > RETENTION_MILLIS, nowMillis);
    }
}
