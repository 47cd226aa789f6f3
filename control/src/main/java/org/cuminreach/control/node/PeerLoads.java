package org.cuminreach.control.node;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** How many sessions the other controls have, as far as they were heard lately. */
final class PeerLoads {
    private static final long FRESH_MILLIS = 12_000;

    /** What a control last told. */
    private record Load(int sessions, long heardMillis) {}

    private final Map<String, Load> byControl = new ConcurrentHashMap<>();

    void heard(String control, int sessions, long nowMillis) {
        byControl.put(control, new Load(sessions, nowMillis));
    }

    List<Integer> fresh(long nowMillis) {
        byControl.values().removeIf(load -> nowMillis - load.heardMillis() > FRESH_MILLIS);
        return byControl.values().stream().map(Load::sessions).toList();
    }
}
