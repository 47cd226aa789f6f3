package org.cuminreach.decisions.agreement;

/** Replication progress of one other member, as tracked by the leader. */
final class Progress {
    private long nextIndex;
    private long matchIndex;
    private long ackedRound;
    private long lastContactMillis;
    private boolean awaitingResponse;

    Progress(long nextIndex, long nowMillis) {
        this.nextIndex = nextIndex;
        this.lastContactMillis = nowMillis;
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
        return nowMillis - lastContactMillis;
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
