package org.cuminreach.decisions.rollout;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The evidence of each service in slots of time, so that versions can be compared at the same time.
 * Bounded: the oldest slots of a service are merged, slots have a bounded number of cells, and
 * evidence that was gathered over too long a span is left out. Of the first calls at a target of a
 * new version only the failures count, since a cold target is slow. Not safe for several threads at
 * once.
 */
public final class EvidenceStore {
    private static final long SLOT_MILLIS = 2_000;
    private static final int MAX_SLOTS = 40;
    private static final int MAX_SERVICES = 1_024;
    private static final long MAX_SPAN_MILLIS = 30_000;
    private static final long WARM_UP_CALLS = 20;
    private static final int MAX_NEW_TARGETS = 4_096;

    /** A target of a new version. */
    private record NewTarget(String service, String version, String target) {}

    private final Map<String, List<EvidenceSlot>> services = new HashMap<>();
    private final Map<String, String> newVersions = new HashMap<>();
    private final Map<NewTarget, Long> callsByTarget = new HashMap<>();
    private final long collectingSinceMillis;

    private EvidenceStore(long openedMillis) {
        this.collectingSinceMillis = openedMillis;
    }

    /**
     * Returns a ledger without evidence.
     *
     * @param nowMillis present time, from which on it listens
     * @return an empty ledger
     */
    public static EvidenceStore empty(long nowMillis) {
        return new EvidenceStore(nowMillis);
    }

    /**
     * Returns since when it listens.
     *
     * @return time of its opening, in milliseconds
     */
    public long collectingSinceMillis() {
        return collectingSinceMillis;
    }

    /**
     * Adds evidence.
     *
     * @param evidence what nodes saw
     * @param nowMillis present time
     */
    public void add(Collection<Evidence> evidence, long nowMillis) {
        for (Evidence next : evidence) {
            if (next.spanMillis() <= MAX_SPAN_MILLIS) {
                slotOf(next.key().service(), nowMillis).add(withoutWarmUpLatencies(next));
            }
        }
    }

    /**
     * Names the rollouts that are judged; evidence of other services is forgotten.
     *
     * @param judged the new version of each service
     */
    public void setNewVersions(Map<String, String> judged) {
        if (judged.equals(newVersions)) {
            return;
        }
        services.keySet().removeIf(name -> !isKept(name, judged));
        callsByTarget.keySet().removeIf(key -> !isKept(key.service(), judged));
        newVersions.clear();
        newVersions.putAll(judged);
    }

    private boolean isKept(String service, Map<String, String> judged) {
        return judged.containsKey(service) && judged.get(service).equals(newVersions.get(service));
    }

    List<EvidenceSlot> slotsOf(String service) {
        return services.getOrDefault(service, List.of());
    }

    /** Calm evidence is kept apart from that of overload, of which the oldest is dropped. */
    private static void mergeOldest(List<EvidenceSlot> slots) {
        boolean firstOverloaded = slots.get(0).isOverloaded();
        boolean secondOverloaded = slots.get(1).isOverloaded();
        if (firstOverloaded == secondOverloaded) {
            slots.get(0).merge(slots.remove(1));
        } else {
            slots.remove(firstOverloaded ? 0 : 1);
        }
    }

    private Evidence withoutWarmUpLatencies(Evidence evidence) {
        EvidenceKey key = evidence.key();
        if (!key.version().equals(newVersions.get(key.service()))) {
            return evidence;
        }
        NewTarget target = new NewTarget(key.service(), key.version(), key.target());
        if (callsByTarget.size() >= MAX_NEW_TARGETS && !callsByTarget.containsKey(target)) {
            return evidence;
        }
        long before = callsByTarget.getOrDefault(target, 0L);
        callsByTarget.put(target, before + evidence.counts().reached());
        return before >= WARM_UP_CALLS
                ? evidence
                : new Evidence(
                        key,
                        evidence.counts().withoutLatencies(),
                        evidence.spanMillis(),
                        evidence.circuitOpen());
    }

    private EvidenceSlot slotOf(String service, long nowMillis) {
        if (services.size() >= MAX_SERVICES && !services.containsKey(service)) {
            services.remove(services.keySet().iterator().next());
        }
        List<EvidenceSlot> slots = services.computeIfAbsent(service, name -> new ArrayList<>());
        if (slots.isEmpty() || slots.getLast().endMillis() <= nowMillis) {
            long start = nowMillis - Math.floorMod(nowMillis, SLOT_MILLIS);
            slots.add(new EvidenceSlot(start, start + SLOT_MILLIS));
        }
        if (slots.size() > MAX_SLOTS) {
            mergeOldest(slots);
        }
        return slots.getLast();
    }
}
