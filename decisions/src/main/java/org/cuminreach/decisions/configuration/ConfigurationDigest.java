package org.cuminreach.decisions.configuration;

import java.math.BigInteger;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tells configurations apart by 64 bits. The order of services and routes does not count. Items
 * that one configuration shares with the one before are not read again, so that a change of one
 * route among many costs little. Not safe for use by several threads at once.
 */
public final class ConfigurationDigest {
    private Map<Object, Long> cachedHashes = new IdentityHashMap<>();

    private ConfigurationDigest() {}

    /**
     * Returns a digest that has read no configuration yet.
     *
     * @return the digest
     */
    public static ConfigurationDigest create() {
        return new ConfigurationDigest();
    }

    /**
     * Computes the digest of a configuration that no other one precedes.
     *
     * @param configuration the configuration; its text does not count
     * @return 64 bits
     */
    public static long of(MeshConfiguration configuration) {
        return create().compute(configuration);
    }

    /**
     * Computes the digest of a configuration.
     *
     * @param configuration the configuration; its text does not count
     * @return 64 bits, the same whatever was read before
     */
    public long compute(MeshConfiguration configuration) {
        Map<Object, Long> read = new IdentityHashMap<>();
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
        sum += sum(configuration.document().services(), read);
        sum += sum(configuration.document().routes(), read);
        sum += sum(configuration.rollouts(), read);
        cachedHashes = read;
        return sum;
    }

    /** Adds up the hashes of items; a sum does not depend on their order. */
    private long sum(List<?> items, Map<Object, Long> read) {
        long sum = 0;
        for (Object item : items) {
            Long hash = cachedHashes.get(item);
            if (hash == null) {
                hash = hash(item.toString());
            }
            read.put(item, hash);
            sum += hash;
        }
        return sum;
    }

    /** Hashes the characters of a text, two bytes each, to the last 64 bits of their digest. */
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
