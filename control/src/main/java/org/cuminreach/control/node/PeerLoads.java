package org.cuminreach.control.node;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.cuminreach.decisions.distribution.SessionBalancePolicy;
import org.cuminreach.settings.Address;

/** Where the other controls are and how many sessions they have, as far as heard lately. */
final class PeerLoads {
    private static final long LOAD_RETENTION_MILLIS = 12_000;

    /** What a control last told. */
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

    /** Where nodes reach the other controls that were heard lately. */
    List<Address> nodeAddresses() {
        return byControl.values().stream()
                .map(Load::nodeAddress)
                .flatMap(Optional::stream)
                .toList();
    }

    /**
     * Finds a control of a data centre that takes more sessions. Each node has a place of its own
     * among them: by what they last told, all would go to the same.
     */
    Optional<Address> findInDataCentre(
            String dataCentre, String node, int ownSessions, long nowMillis) {
        List<Address> open =
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
        return open.isEmpty()
                ? Optional.empty()
                : Optional.of(open.get(Math.floorMod(node.hashCode(), open.size())));
    }

    /** Tells whether a number of sessions is far more than a control's fair part now. */
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
