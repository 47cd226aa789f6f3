package org.cuminreach.control.node;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.cuminreach.decisions.distribution.SpreadPolicy;
import org.cuminreach.settings.Address;

/** Where the other controls are and how many sessions they have, as far as heard lately. */
final class PeerLoads {
    private static final long FRESH_MILLIS = 12_000;

    /** What a control last told. */
    private record Load(
            int sessions, Optional<Address> nodeAddress, String dataCentre, long heardMillis) {}

    private final Map<String, Load> byControl = new ConcurrentHashMap<>();

    void heard(
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

    /** Finds the least loaded control of a data centre that takes more sessions. */
    Optional<Address> near(String dataCentre, int ownSessions, long nowMillis) {
        List<Integer> others = fresh(nowMillis);
        int total = ownSessions + others.stream().mapToInt(Integer::intValue).sum();
        return byControl.values().stream()
                .filter(load -> load.dataCentre().equals(dataCentre))
                .filter(load -> load.nodeAddress().isPresent())
                .filter(load -> !SpreadPolicy.isCrowded(load.sessions(), total, others.size() + 1))
                .min(Comparator.comparingInt(Load::sessions))
                .flatMap(Load::nodeAddress);
    }

    List<Integer> fresh(long nowMillis) {
        byControl.values().removeIf(load -> nowMillis - load.heardMillis() > FRESH_MILLIS);
        return byControl.values().stream().map(Load::sessions).toList();
    }
}
