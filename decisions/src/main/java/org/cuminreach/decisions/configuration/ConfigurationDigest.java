package org.cuminreach.decisions.configuration;

import java.math.BigInteger;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

/**
 * Computes a 64-bit digest of a configuration, independent of the order of services and routes. The
 * hashes of items that a configuration shares with the previous one are cached, so that a change of
 * one route among many is cheap. The digest covers {@code toString()} of services, routes, rollout
 * states, tenants and limits, so their string form must be the same on controls and nodes. Not
 * thread-safe.
 */
public final class ConfigurationDigest {
    private Map<Object, Long> cachedHashes = new IdentityHashMap<>();

    private ConfigurationDigest() {}

    /**
     * Creates a digest with an empty cache.
     *
     * @return the digest
     */
    public static ConfigurationDigest create() {
        return new ConfigurationDigest();
    }

    /**
     * Computes the digest of a single configuration, without a cache.
     *
     * @param configuration the configuration; its document text is not included
     * @return the digest
     */
    public static long of(MeshConfiguration configuration) {
        return create().compute(configuration);
    }

    /**
     * Computes the digest of a configuration and caches the hashes of its items.
     *
     * @param configuration the configuration; its document text is not included
     * @return the digest, which does not depend on the cache
     */
    public long compute(MeshConfiguration configuration) {
        Map<Object, Long> hashes = new IdentityHashMap<>();
        long sum =
                hash(
                        configuration.version()
                                + "|"
                                + configuration.documentVersion()
                                + "|"
                                + configuration.document().rolloutPriority()
                                + "|"
                                + configuration.document().revision()
                                + "|"
                                + configuration.document().limits());
        sum += sum(configuration.document().services(), hashes);
        sum += sum(configuration.document().routes(), hashes);
        sum += sum(configuration.rollouts(), hashes);
        sum += sum(configuration.document().tenants(), hashes);
        for (String dataCentre : configuration.evacuatedDataCentres()) {
            sum += hash("evacuated|" + dataCentre);
        }
        cachedHashes = hashes;
        return sum;
    }

    /** Returns the sum of the items' hashes, which does not depend on their order. */
    private long sum(List<?> items, Map<Object, Long> hashes) {
        long sum = 0;
        for (Object item : items) {
            Long hash = cachedHashes.get(item);
            if (hash == null) {
                hash = hash(item.toString());
            }
            hashes.put(item, hash);
            sum += hash;
        }
        return sum;
    }

    /** Returns the last 64 bits of the SHA-256 hash of a text, taken as two bytes per character. */
    private static long hash(String text) {
        byte[] bytes = new byte[text.length() * Character.BYTES];
        for (int index = 0; index < text.length(); index++) {
            char character = text.charAt(index);
            bytes[index * Character.BYTES] = (byte) (character >> Byte.SIZE);
            bytes[index * Character.BYTES + 1] = (byte) character;
        }
        return new BigInteger(Sha256.newDigest().digest(bytes)).longValue();
    }
}
