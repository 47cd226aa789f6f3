package org.cuminreach.control.node;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.cuminreach.settings.Address;

/** How many sessions the other controls have, as far as they were heard lately. */
final class PeerLoads {
    private static final long FRESH_MILLIS = 12_000;

    /** What a control last told. */
    private record Load(int sessions, Optional<Address> nodeAddress, long heardMillis) {}

    private final Map<String, Load> byControl = new ConcurrentHashMap<>();

    void heard(String control, int sessions, Optional<Address> nodeAddress, long nowMillis) {
        byControl.put(control, new Load(sessions, nodeAddress, nowMillis));
    }

    /** Where nodes reach the other controls that were heard lately. */
    List<Address> nodeAddresses() {
        return byControl.values().stream()
                .map(Load::nodeAddress)
                .flatMap(Optional::stream)
                .toList();
    }

    List<Integer> fresh(long nowMillis) {
        byControl.values().removeIf(load -> nowMillis - load.heardMillis() > FRESH_MILLIS);
        return byControl.values().stream().map(Load::sessions).toList();
    }
}
