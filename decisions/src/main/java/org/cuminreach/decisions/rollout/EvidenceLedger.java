package org.cuminreach.decisions.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The evidence gathered since each rollout's latest step. Not safe for several threads at once. */
public final class EvidenceLedger {
    private record Key(String service, String version, String route) {}

    private final Map<Key, Evidence> gathered = new HashMap<>();

    private EvidenceLedger() {}

    /**
     * Returns a ledger without evidence.
     *
     * @return an empty ledger
     */
    public static EvidenceLedger empty() {
        return new EvidenceLedger();
    }

    /**
     * Adds evidence.
     *
     * @param evidence evidence of one node and span
     */
    public void add(Collection<Evidence> evidence) {
        for (Evidence next : evidence) {
            Key key = new Key(next.service(), next.version(), next.route());
            gathered.merge(key, next, Evidence::plus);
        }
    }

    /**
     * Returns the evidence of a service.
     *
     * @param service name of the service
     * @return evidence of each version and route
     */
    public List<Evidence> of(String service) {
        return gathered.values().stream()
                .filter(evidence -> evidence.service().equals(service))
                .toList();
    }

    /**
     * Forgets the evidence of a service, after a step.
     *
     * @param service name of the service
     */
    public void forget(String service) {
        gathered.keySet().removeIf(key -> key.service().equals(service));
    }
}
