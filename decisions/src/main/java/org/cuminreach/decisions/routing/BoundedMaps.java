package org.cuminreach.decisions.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/** Maps of bounded size, so that made-up names cost bounded memory. */
public final class BoundedMaps {
    private BoundedMaps() {}

    /**
     * Returns an empty map that forgets its oldest entry for each new one beyond its size. An entry
     * that is put again keeps its place.
     *
     * @param <K> type of the keys
     * @param <V> type of the values
     * @param most entries that are kept
     * @return the map
     */
    public static <K, V> Map<K, V> withMaxSize(int most) {
        return new LinkedHashMap<>() {
            private static final long serialVersionUID = 1;

            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > most;
            }
        };
    }
}
