package org.cuminreach.decisions.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the old version did on one route, slot by slot, as the expectation for the new one: at the
 * same time, and in the same data centre where that was worse than elsewhere. Where the old version
 * takes no calls any more, its latest calls are what counts.
 */
final class OldVersionHistory {
    private static final long WINDOW_MILLIS = 16_000;
    private static final long MIN_CALLS = 10;
    private static final long REFERENCE_CALLS = 60;
    private static final double PRIOR_CALLS = 1.0;
    private static final double PRIOR_FAILURES = 0.02;
    private static final double MAX_EXPECTED_SHARE = 0.95;
    private static final String ALL_DATA_CENTRES = "";
    private static final CallCounter NO_CALLS = CallCounter.zero();

    private final Map<String, CallCounter[]> countersByDataCentre = new HashMap<>();
    private final Map<String, CallCounter[]> windowsByDataCentre = new HashMap<>();
    private final CallCounter[] references;
    private final List<EvidenceSlot> evidenceSlots;
    private final boolean[] overloaded;
    private final int slotCount;

    private OldVersionHistory(List<EvidenceSlot> span, boolean[] overloaded) {
        this.evidenceSlots = span;
        this.overloaded = overloaded;
        slotCount = overloaded.length;
        references = new CallCounter[slotCount];
    }

    /** Returns the history of each route that the old version took calls on. */
    static Map<String, OldVersionHistory> byRoute(List<EvidenceSlot> slots, String newVersion) {
        Map<String, OldVersionHistory> histories = new HashMap<>();
        boolean[] overloaded = overloaded(slots);
        for (int index = 0; index < slots.size(); index++) {
            for (Map.Entry<EvidenceKey, CallCounter> cell : slots.get(index).cells().entrySet()) {
                EvidenceKey key = cell.getKey();
                if (!key.version().equals(newVersion)) {
                    OldVersionHistory history =
                            histories.computeIfAbsent(
                                    key.route(), route -> new OldVersionHistory(slots, overloaded));
                    history.getOrCreateCounter(ALL_DATA_CENTRES, index).add(cell.getValue());
                    history.getOrCreateCounter(key.dataCentre(), index).add(cell.getValue());
                }
            }
        }
        return histories;
    }

    static OldVersionHistory empty(List<EvidenceSlot> slots) {
        return new OldVersionHistory(slots, overloaded(slots));
    }

    /** A slot beside an overloaded one may hold a part of the overload. */
    private static boolean[] overloaded(List<EvidenceSlot> slots) {
        boolean[] overloaded = new boolean[slots.size()];
        for (int index = 0; index < overloaded.length; index++) {
            if (slots.get(index).isOverloaded()) {
                overloaded[Math.max(0, index - 1)] = true;
                overloaded[index] = true;
                overloaded[Math.min(overloaded.length - 1, index + 1)] = true;
            }
        }
        return overloaded;
    }

    /** Tells whether the old version took calls near a slot. */
    boolean hasConcurrentCalls(int slot) {
        return callsInWindow(ALL_DATA_CENTRES, slot).reached() >= MIN_CALLS;
    }

    boolean hasReferenceLatencies(int slot) {
        return reference(slot).timed() >= MIN_CALLS;
    }

    boolean isOverloaded(int slot) {
        return overloaded[slot];
    }

    /** Returns the share of calls that are expected to fail anyway. */
    double expectedFailures(int slot, String dataCentre, double margin) {
        double expected = failureShare(reference(slot));
        expected = Math.max(expected, failureShareIfEnoughCalls(callsInSlot(slot)));
        expected = Math.max(expected, failureShareIfEnoughCalls(callsInWindow(dataCentre, slot)));
        return Math.min(MAX_EXPECTED_SHARE, expected + margin);
    }

    /** Returns the bucket that a quantile of the old version's answers lies in. */
    int quantileBucket(int slot, double quantile) {
        return reference(slot).quantileBucket(quantile);
    }

    /** Returns the share of calls that are expected to be slower than a bucket anyway. */
    double expectedSlower(int slot, String dataCentre, int bucket, double margin) {
        double expected = slowerShare(reference(slot), bucket);
        for (CallCounter counter : List.of(callsInSlot(slot), callsInWindow(dataCentre, slot))) {
            if (counter.timed() >= MIN_CALLS) {
                expected = Math.max(expected, slowerShare(counter, bucket));
            }
        }
        return Math.min(MAX_EXPECTED_SHARE, expected + margin);
    }

    private static double failureShareIfEnoughCalls(CallCounter counter) {
        return counter.reached() >= MIN_CALLS ? failureShare(counter) : 0;
    }

    private static double failureShare(CallCounter counter) {
        double calls = counter.reached() + PRIOR_CALLS;
        double share = (counter.failures() + counter.losses() + PRIOR_FAILURES) / calls;
        return Math.min(1, share + standardError(share, calls));
    }

    private static double slowerShare(CallCounter counter, int bucket) {
        double calls = counter.timed() + PRIOR_CALLS;
        double share = (counter.slowerThan(bucket) + PRIOR_FAILURES) / calls;
        return Math.min(1, share + standardError(share, calls));
    }

    private static double standardError(double share, double calls) {
        return Math.sqrt(share * (1 - share) / calls);
    }

    /** The calls near the slot, reaching further back, at like load, while they are too few. */
    private CallCounter reference(int slot) {
        if (references[slot] == null) {
            CallCounter alike = windowAndEarlierCalls(slot, !overloaded[slot]);
            references[slot] =
                    alike.timed() >= MIN_CALLS ? alike : windowAndEarlierCalls(slot, false);
        }
        return references[slot];
    }

    private CallCounter windowAndEarlierCalls(int slot, boolean calmOnly) {
        CallCounter sum = CallCounter.zero();
        sum.add(callsInWindow(ALL_DATA_CENTRES, slot));
        for (int earlier = slot - 1; earlier >= 0; earlier--) {
            boolean alike = !calmOnly || !overloaded[earlier];
            if (alike && !isWithinWindow(earlier, slot) && sum.timed() < REFERENCE_CALLS) {
                sum.add(counterOrNoCalls(ALL_DATA_CENTRES, earlier));
            }
        }
        return sum;
    }

    private boolean isWithinWindow(int earlier, int slot) {
        return evidenceSlots.get(earlier).startMillis()
                > evidenceSlots.get(slot).startMillis() - WINDOW_MILLIS;
    }

    private CallCounter callsInSlot(int slot) {
        return counterOrNoCalls(ALL_DATA_CENTRES, slot);
    }

    private CallCounter callsInWindow(String dataCentre, int slot) {
        return windowsByDataCentre.computeIfAbsent(dataCentre, this::slidingWindows)[slot];
    }

    private CallCounter[] slidingWindows(String dataCentre) {
        CallCounter[] sums = new CallCounter[slotCount];
        int first = 0;
        for (int slot = 0; slot < slotCount; slot++) {
            sums[slot] = CallCounter.zero();
            sums[slot].add(slot == 0 ? NO_CALLS : sums[slot - 1]);
            sums[slot].add(counterOrNoCalls(dataCentre, slot));
            while (!isWithinWindow(first, slot)) {
                sums[slot].subtract(counterOrNoCalls(dataCentre, first));
                first++;
            }
        }
        return sums;
    }

    private CallCounter counterOrNoCalls(String dataCentre, int slot) {
        CallCounter[] ofDataCentre = countersByDataCentre.get(dataCentre);
        boolean absent = ofDataCentre == null || ofDataCentre[slot] == null;
        return absent ? NO_CALLS : ofDataCentre[slot];
    }

    private CallCounter getOrCreateCounter(String dataCentre, int slot) {
        CallCounter[] ofDataCentre =
                countersByDataCentre.computeIfAbsent(
                        dataCentre, name -> new CallCounter[slotCount]);
        if (ofDataCentre[slot] == null) {
            ofDataCentre[slot] = CallCounter.zero();
        }
        return ofDataCentre[slot];
    }
}
