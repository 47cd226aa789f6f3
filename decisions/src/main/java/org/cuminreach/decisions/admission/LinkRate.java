package org.cuminreach.decisions.admission;

/**
 * Rate of the link of a VM.
 *
 * @param bytesPerMilli bytes that cross it in a millisecond; 0 when not known
 */
public record LinkRate(double bytesPerMilli) {
    private static final double BITS_PER_BYTE = 8;

    /** Time on the link from which a body is long, in milliseconds. */
    private static final double LONG_BODY_MILLIS = 20;

    /** Share of the link that long bodies get, so that short calls find room beside them. */
    private static final double LONG_BODY_SHARE = 0.9;

    /**
     * Returns a rate.
     *
     * @param kilobitsPerSecond the rate in kbit/s; 0 when not known
     * @return the rate
     */
    public static LinkRate ofKilobitsPerSecond(long kilobitsPerSecond) {
        return new LinkRate(kilobitsPerSecond / BITS_PER_BYTE);
    }

    /**
     * Returns the rate of a link of which nothing is known.
     *
     * @return the rate
     */
    public static LinkRate unknown() {
        return new LinkRate(0);
    }

    /**
     * Tells whether the rate is known.
     *
     * @return true when it is
     */
    public boolean isKnown() {
        return bytesPerMilli > 0;
    }

    /**
     * Tells whether a body takes so long on the link that short calls should not wait for it.
     *
     * @param bytes its length
     * @return true when it is long; false when the rate is not known
     */
    public boolean isLong(long bytes) {
        return isKnown() && bytes >= LONG_BODY_MILLIS * bytesPerMilli;
    }

    /**
     * Returns the rate at which long bodies cross the link.
     *
     * @return bytes a millisecond
     */
    public double longBodyBytesPerMilli() {
        return LONG_BODY_SHARE * bytesPerMilli;
    }
}
