package org.cuminreach.decisions.admission;

/**
 * Pace at which a node sends long bodies, all of them together, so that its short calls find room
 * between two pieces. Not thread-safe.
 */
public final class TransferPace {
    /** Time on the link that one piece takes, in milliseconds. */
    private static final double PIECE_MILLIS = 10;

    private final double bytesPerMilli;
    private double nextPieceMillis;

    private TransferPace(double bytesPerMilli) {
        this.bytesPerMilli = bytesPerMilli;
    }

    /**
     * Returns the pace for a link.
     *
     * @param link rate of the link, which is known
     * @return the pace
     */
    public static TransferPace ofLink(LinkRate link) {
        return new TransferPace(link.longBodyBytesPerMilli());
    }

    /**
     * Takes the next piece.
     *
     * @param wanted bytes that remain to be sent, at least 1
     * @param nowMillis current time
     * @return the bytes to send now, 0 when the next piece is not due
     */
    public int take(int wanted, long nowMillis) {
        if (nowMillis < Math.floor(nextPieceMillis)) {
            return 0;
        }
        int piece = (int) Math.clamp(PIECE_MILLIS * bytesPerMilli, 1, wanted);
        nextPieceMillis = Math.max(nextPieceMillis, nowMillis) + piece / bytesPerMilli;
        return piece;
    }

    /**
     * Returns the time until the next piece.
     *
     * @param nowMillis current time
     * @return the time in milliseconds, at least 1
     */
    public long waitMillis(long nowMillis) {
        return Math.max(1, (long) Math.floor(nextPieceMillis) - nowMillis);
    }
}
