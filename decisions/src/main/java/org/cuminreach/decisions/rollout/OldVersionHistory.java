package org.cuminreach.decisions.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Call results of the old version on one route by time slot, as the baseline for the new version.
 * The baseline is taken from the same time, and from the same data centre where the old version did
 * worse there than elsewhere. Once the old version receives no more calls, its latest calls count.
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

    private OldVersionHistory(List<EvidenceSlot> evidenceSlots, boolean[] overloaded) {
        this.evidenceSlots = evidenceSlots;
        this.overloaded = overloaded;
        slotCount = overloaded.length;
        references = new CallCounter[slotCount];
    }

    /** Returns the history of each route on which the old version received calls. */
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

    /** Marks overloaded slots and their neighbours, which may contain a part of the overload. */
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

    /** Tells whether the old version received enough calls in the window that ends at a slot. */
    boolean hasConcurrentCalls(int slot) {
        return callsInWindow(ALL_DATA_CENTRES, slot).reached() >= MIN_CALLS;
    }

    boolean hasReferenceLatencies(int slot) {
        return reference(slot).timed() >= MIN_CALLS;
    }

    boolean isOverloaded(int slot) {
        return overloaded[slot];
    }

    /** Returns the share of calls expected to fail without a regression, plus a margin. */
    double expectedFailures(int slot, String dataCentre, double margin) {
        double expected = failureShare(reference(slot));
        expected = Math.max(expected, failureShareIfEnoughCalls(callsInSlot(slot)));
        expected = Math.max(expected, failureShareIfEnoughCalls(callsInWindow(dataCentre, slot)));
        return Math.min(MAX_EXPECTED_SHARE, expected + margin);
    }

    /** Returns the bucket of a latency quantile of the old version. */
    int quantileBucket(int slot, double quantile) {
        return reference(slot).quantileBucket(quantile);
    }

    /** Returns the share of calls expected above a latency bucket, plus a margin. */
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

    /**
     * Returns the calls in the window that ends at the slot and, while these are too few, earlier
     * calls. Slots with overload are used for a slot without overload only when the others are not
     * enough.
     */
    private CallCounter reference(int slot) {
        if (references[slot] == null) {
            CallCounter calls = windowAndEarlierCalls(slot, !overloaded[slot]);
            references[slot] =
                    calls.timed() >= MIN_CALLS ? calls : windowAndEarlierCalls(slot, false);
        }
        return references[slot];
    }

    private CallCounter windowAndEarlierCalls(int slot, boolean withoutOverload) {
        CallCounter sum = CallCounter.zero();
        sum.add(callsInWindow(ALL_DATA_CENTRES, slot));
        for (int earlier = slot - 1; earlier >= 0; earlier--) {
            boolean isUsable = !withoutOverload || !overloaded[earlier];
            if (isUsable && !isWithinWindow(earlier, slot) && sum.timed() < REFERENCE_CALLS) {
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
