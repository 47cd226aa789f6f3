package org.cuminreach.node.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cuminreach.decisions.rollout.Evidence;

/** What this node's calls met, until it is sent to the control. Safe for several threads. */
public final class EvidenceLog {
    private final Map<String, Evidence> seen = new ConcurrentHashMap<>();

    private EvidenceLog() {}

    /**
     * Returns an empty log.
     *
     * @return a new log
     */
    public static EvidenceLog empty() {
        return new EvidenceLog();
    }

    /**
     * Adds one call.
     *
     * @param service name of the service
     * @param version version that the call was sent to
     * @param route name of the route
     * @param failed true when it failed at the target
     * @param micros time it took, in microseconds
     */
    public void add(String service, String version, String route, boolean failed, long micros) {
        Evidence one = new Evidence(service, version, route, 1, failed ? 1 : 0, micros);
        seen.merge(service + "/" + version + "/" + route, one, Evidence::plus);
    }

    /**
     * Takes everything out.
     *
     * @return the evidence since the last call
     */
    public List<Evidence> take() {
        List<Evidence> taken = new ArrayList<>();
        for (String key : seen.keySet()) {
            Evidence evidence = seen.remove(key);
            if (evidence != null) {
                taken.add(evidence);
            }
        }
        return taken;
    }
}
