package org.cuminreach.decisions.agreement;

/** Replication progress of one other member, as tracked by the leader. */
final class Progress {
    private long nextIndex;
    private long matchIndex;
    private long ackedRound;
    private long lastContactMillis;
    private long silentSinceMillis;
    private boolean awaitingResponse;

    /**
     * Starts to track a member, which counts as in contact until it has had time to respond.
     *
     * @param nextIndex index of the next entry to send
     * @param nowMillis current time
     * @param silentSinceMillis time of the latest known contact, the current time if there is none
     */
    Progress(long nextIndex, long nowMillis, long silentSinceMillis) {
        this.nextIndex = nextIndex;
        this.lastContactMillis = nowMillis;
        this.silentSinceMillis = silentSinceMillis;
    }

    long nextIndex() {
        return nextIndex;
    }

    long matchIndex() {
        return matchIndex;
    }

    long ackedRound() {
        return ackedRound;
    }

    /** Returns the time since the last response of the member, in milliseconds. */
    long silentMillis(long nowMillis) {
        return nowMillis - silentSinceMillis;
    }

    boolean respondedWithin(long nowMillis, long spanMillis) {
        return nowMillis - lastContactMillis < spanMillis;
    }

    boolean awaitingResponse() {
        return awaitingResponse;
    }

    void recordSent() {
        awaitingResponse = true;
    }

    void recordResponse(long nowMillis, long round) {
        lastContactMillis = nowMillis;
        silentSinceMillis = nowMillis;
        ackedRound = Math.max(ackedRound, round);
        awaitingResponse = false;
    }

    void recordMatch(long index) {
        matchIndex = Math.max(matchIndex, index);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
    }

    void recordMismatch(long hint) {
        long earlier = Math.min(nextIndex - 1, hint + 1);
        nextIndex = Math.max(matchIndex + 1, Math.max(1, earlier));
    }
}
