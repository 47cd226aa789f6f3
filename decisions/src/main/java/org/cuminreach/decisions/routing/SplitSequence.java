package org.cuminreach.decisions.routing;

import java.util.random.RandomGenerator;

/**
 * Positions of successive calls of a split route: an additive recurrence with the golden ratio, of
 * which any number of successive positions is spread evenly. Nodes start at random positions, so
 * that their rounding errors do not add up. Not thread-safe.
 */
public final class SplitSequence {
    private static final double GOLDEN_RATIO = 0.6180339887498949;
    private static final double UNSIGNED_INTEGERS = 0x1p32;
    private static final int HASH_FACTOR = 0x9e3779b1;

    private double position;

    private SplitSequence(double start) {
        position = start;
    }

    /**
     * Starts a sequence.
     *
     * @param random source of randomness
     * @return a sequence with a random start
     */
    public static SplitSequence startedAtRandom(RandomGenerator random) {
        return new SplitSequence(random.nextDouble());
    }

    /**
     * Returns the position of the next call.
     *
     * @return position from 0 to less than 1
     */
    public double next() {
        position = (position + GOLDEN_RATIO) % 1;
        return position;
    }

    /**
     * Returns the position of a call with an idempotency key, which must be the same on the node
     * that received it, on the home node of the key, and for each repetition.
     *
     * @param key the key
     * @return position from 0 to less than 1
     */
    public static double ofKey(String key) {
        int hash = key.hashCode() * HASH_FACTOR;
        return Integer.toUnsignedLong(hash ^ (hash >>> 15)) / UNSIGNED_INTEGERS;
    }
}
