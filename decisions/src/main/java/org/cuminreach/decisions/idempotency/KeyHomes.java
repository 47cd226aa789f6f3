package org.cuminreach.decisions.idempotency;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Home nodes of idempotency keys in one service, and since when each is the home. The home of a key
 * is chosen by rendezvous hashing, so that a node that joins or leaves moves only its own share of
 * the keys. Not thread-safe.
 */
public final class KeyHomes {
    private static final int MAX_CHANGES = 64;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /** Data centre of each node and the time from which this was valid. */
    private record Change(long atMillis, Map<String, String> dataCentres) {}

    private final Deque<Change> changes = new ArrayDeque<>();

    private KeyHomes() {}

    /**
     * Creates an instance for a service that has no nodes yet.
     *
     * @return a new instance without nodes
     */
    public static KeyHomes empty() {
        return new KeyHomes();
    }

    /**
     * Replaces the nodes of the service.
     *
     * @param nodes names of its nodes
     * @param nowMillis current time
     */
    public void updateNodes(Collection<String> nodes, long nowMillis) {
        Map<String, String> dataCentres = new HashMap<>();
        nodes.forEach(node -> dataCentres.put(node, ""));
        updateNodes(dataCentres, nowMillis);
    }

    /**
     * Replaces the nodes of the service.
     *
     * @param dataCentres data centre of each of its nodes, by name of the node
     * @param nowMillis current time
     */
    public void updateNodes(Map<String, String> dataCentres, long nowMillis) {
        changes.addFirst(new Change(nowMillis, Map.copyOf(dataCentres)));
        if (changes.size() > MAX_CHANGES) {
            changes.removeLast();
        }
    }

    /**
     * Returns the home of a key.
     *
     * @param key the key
     * @return name of the node, or empty when the service has none
     */
    public Optional<String> home(String key) {
        return home(key, dataCentre -> true);
    }

    /**
     * Returns the home of a key that must stay in certain data centres.
     *
     * @param key the key
     * @param allowed tells whether the home may be in a data centre
     * @return name of the node, or empty when the service has none there
     */
    public Optional<String> home(String key, Predicate<String> allowed) {
        return changes.isEmpty() ? Optional.empty() : home(key, changes.getFirst(), allowed);
    }

    /**
     * Returns the time since which the home of a key has not changed.
     *
     * @param key the key
     * @param nowMillis current time
     * @return the time; changes of nodes that are no longer stored count as changes of the home
     */
    public long homeSince(String key, long nowMillis) {
        return homeSince(key, dataCentre -> true, nowMillis);
    }

    /**
     * Returns the time since which the home of a key that must stay in certain data centres has not
     * changed.
     *
     * @param key the key
     * @param allowed tells whether the home may be in a data centre
     * @param nowMillis current time
     * @return the time; changes of nodes that are no longer stored count as changes of the home
     */
    public long homeSince(String key, Predicate<String> allowed, long nowMillis) {
        Optional<String> current = home(key, allowed);
        long since = nowMillis;
        for (Change change : changes) {
            if (!home(key, change, allowed).equals(current)) {
                return since;
            }
            since = change.atMillis();
        }
        return since;
    }

    private static Optional<String> home(String key, Change change, Predicate<String> allowed) {
        String home = null;
        long highest = 0;
        for (Map.Entry<String, String> entry : change.dataCentres().entrySet()) {
            if (!allowed.test(entry.getValue())) {
                continue;
            }
            String node = entry.getKey();
            long weight = weight(key, node);
            boolean isHigher =
                    home == null
                            || weight > highest
                            || (weight == highest && node.compareTo(home) < 0);
            if (isHigher) {
                home = node;
                highest = weight;
            }
        }
        return Optional.ofNullable(home);
    }

    private static long weight(String key, String node) {
        long hash = FNV_OFFSET;
        String text = node + '\n' + key;
        for (int index = 0; index < text.length(); index++) {
            hash = (hash ^ text.charAt(index)) * FNV_PRIME;
        }
        hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
        hash = (hash ^ (hash >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return hash ^ (hash >>> 33);
    }
}
