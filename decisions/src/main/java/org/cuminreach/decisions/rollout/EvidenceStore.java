package org.cuminreach.decisions.rollout;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Stores the evidence of each service in time slots, so that versions are compared over the same
 * time. Memory is bounded: the oldest slots of a service are merged, and slots have a bounded
 * number of cells. Evidence collected over too long a span is ignored. Only failures count among
 * the first calls to a target of a new version, since a cold target is slow. Not thread-safe.
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

    private EvidenceStore(long collectingSinceMillis) {
        this.collectingSinceMillis = collectingSinceMillis;
    }

    /**
     * Returns an empty store.
     *
     * @param nowMillis current time, from which evidence is collected
     * @return a store without evidence
     */
    public static EvidenceStore empty(long nowMillis) {
        return new EvidenceStore(nowMillis);
    }

    /**
     * Returns the time since which evidence is collected.
     *
     * @return creation time of the store, in milliseconds
     */
    public long collectingSinceMillis() {
        return collectingSinceMillis;
    }

    /**
     * Adds evidence.
     *
     * @param evidence evidence reported by nodes
     * @param nowMillis current time
     */
    public void add(Collection<Evidence> evidence, long nowMillis) {
        for (Evidence next : evidence) {
            if (next.spanMillis() <= MAX_SPAN_MILLIS) {
                slotOf(next.key().service(), nowMillis).add(withoutWarmUpLatencies(next));
            }
        }
    }

    /**
     * Sets the rollouts to collect evidence for. Evidence of other services, and of services whose
     * new version changes, is removed.
     *
     * @param versions the new version of each service with a rollout
     */
    public void setNewVersions(Map<String, String> versions) {
        if (versions.equals(newVersions)) {
            return;
        }
        services.keySet().removeIf(name -> !isKept(name, versions));
        callsByTarget.keySet().removeIf(key -> !isKept(key.service(), versions));
        newVersions.clear();
        newVersions.putAll(versions);
    }

    private boolean isKept(String service, Map<String, String> versions) {
        return versions.containsKey(service)
                && versions.get(service).equals(newVersions.get(service));
    }

    List<EvidenceSlot> slotsOf(String service) {
        return services.getOrDefault(service, List.of());
    }

    /**
     * Merges the two oldest slots. Slots with and without overload are never merged; of such a pair
     * the overloaded one is dropped.
     */
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
        long callsBefore = callsByTarget.getOrDefault(target, 0L);
        callsByTarget.put(target, callsBefore + evidence.counts().reached());
        return callsBefore >= WARM_UP_CALLS
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
