package org.cuminreach.decisions.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/** Maps of bounded size, so that arbitrary keys from outside use bounded memory. */
public final class BoundedMaps {
    private BoundedMaps() {}

    /**
     * Returns an empty map that evicts its oldest entry when a new one exceeds its size. An entry
     * that is put again keeps its position.
     *
     * @param <K> type of the keys
     * @param <V> type of the values
     * @param maxSize maximum number of entries
     * @return the map
     */
    public static <K, V> Map<K, V> withMaxSize(int maxSize) {
        return new LinkedHashMap<>() {
            private static final long serialVersionUID = 1;

            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > maxSize;
            }
        };
    }
}
