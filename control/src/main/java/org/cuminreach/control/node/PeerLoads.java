package org.cuminreach.control.node;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.cuminreach.decisions.distribution.SessionBalancePolicy;
import org.cuminreach.settings.Address;

/** Addresses and session counts of the other controls, from their recent reports. */
final class PeerLoads {
    private static final long LOAD_RETENTION_MILLIS = 12_000;

    /** The latest report of a control. */
    private record Load(
            int sessions, Optional<Address> nodeAddress, String dataCentre, long receivedMillis) {}

    private final Map<String, Load> byControl = new ConcurrentHashMap<>();

    void record(
            String control,
            int sessions,
            Optional<Address> nodeAddress,
            String dataCentre,
            long nowMillis) {
        byControl.put(control, new Load(sessions, nodeAddress, dataCentre, nowMillis));
    }

    /** Returns the addresses at which nodes reach the other controls that reported recently. */
    List<Address> nodeAddresses() {
        return byControl.values().stream()
                .map(Load::nodeAddress)
                .flatMap(Optional::stream)
                .toList();
    }

    /**
     * Finds a control of a data centre that can take more sessions. A hash of the node's name
     * spreads the nodes over the candidates: chosen by the session counts last reported, all nodes
     * would get the same control.
     */
    Optional<Address> findInDataCentre(
            String dataCentre, String node, int ownSessions, long nowMillis) {
        List<Address> candidates =
                byControl.values().stream()
                        .filter(load -> load.dataCentre().equals(dataCentre))
                        .filter(
                                load ->
                                        !hasTooManySessions(
                                                load.sessions(), ownSessions, nowMillis))
                        .map(Load::nodeAddress)
                        .flatMap(Optional::stream)
                        .sorted(Comparator.comparing(Address::toString))
                        .toList();
        return candidates.isEmpty()
                ? Optional.empty()
                : Optional.of(candidates.get(Math.floorMod(node.hashCode(), candidates.size())));
    }

    /** Tells whether a number of sessions is far above the current fair share of a control. */
    boolean hasTooManySessions(int sessions, int ownSessions, long nowMillis) {
        List<Integer> others = recentSessionCounts(nowMillis);
        int total = ownSessions + others.stream().mapToInt(Integer::intValue).sum();
        return SessionBalancePolicy.hasTooManySessions(sessions, total, others.size() + 1);
    }

    List<Integer> recentSessionCounts(long nowMillis) {
        byControl
                .values()
                .removeIf(load -> nowMillis - load.receivedMillis() > LOAD_RETENTION_MILLIS);
        return byControl.values().stream().map(Load::sessions).toList();
    }
}
