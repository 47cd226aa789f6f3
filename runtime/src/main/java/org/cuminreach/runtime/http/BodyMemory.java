package org.cuminreach.runtime.http;

/**
 * Bounds the memory for bodies that are being received, over all connections. A body may take as
 * much as is left for the others, so that long bodies leave room for short ones however many arrive
 * at once. Thread-safe.
 */
public final class BodyMemory {
    /** Part of the heap that the bodies may take. */
    private static final int HEAP_DIVISOR = 4;

    /** Memory of each part of a body beside its bytes. */
    private static final int PART_OVERHEAD_BYTES = 64;

    /** The memory that one body has taken. */
    public final class Share {
        private long heldBytes;

        private Share() {}

        /**
         * Takes memory for another part of the body.
         *
         * @param bytes size of the part, in bytes
         * @return false if the body would hold more than would be left for the others; nothing is
         *     taken then
         */
        public boolean tryGrow(int bytes) {
            long growth = (long) bytes + PART_OVERHEAD_BYTES;
            synchronized (BodyMemory.this) {
                if (heldBytes + growth > capacityBytes - usedBytes - growth) {
                    return false;
                }
                usedBytes += growth;
                heldBytes += growth;
                return true;
            }
        }

        /** Returns the memory; without effect when it was returned already. */
        public void release() {
            synchronized (BodyMemory.this) {
                usedBytes -= heldBytes;
                heldBytes = 0;
            }
        }
    }

    private final long capacityBytes;
    private long usedBytes;

    private BodyMemory(long capacityBytes) {
        this.capacityBytes = capacityBytes;
    }

    /**
     * Returns a bound.
     *
     * @param capacityBytes memory for all bodies together, in bytes
     * @return the bound
     */
    public static BodyMemory of(long capacityBytes) {
        return new BodyMemory(capacityBytes);
    }

    /**
     * Returns a bound that depends on the maximum size of the heap.
     *
     * @return the bound
     */
    public static BodyMemory forHeap() {
        return new BodyMemory(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    }

    /**
     * Returns the share of a new body.
     *
     * @return a share that holds nothing
     */
    public Share newShare() {
        return new Share();
    }

    /**
     * Returns the memory that bodies hold.
     *
     * @return memory of all shares, in bytes
     */
    public synchronized long usedBytes() {
        return usedBytes;
    }
}
