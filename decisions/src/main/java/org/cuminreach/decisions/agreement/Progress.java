package org.cuminreach.decisions.agreement;

/** What a leader knows of one other replica. */
final class Progress {
    private long nextIndex;
    private long matchIndex;
    private long ackedRound;
    private long heardMillis;
    private boolean awaitingResponse;

    Progress(long nextIndex, long nowMillis) {
        this.nextIndex = nextIndex;
        this.heardMillis = nowMillis;
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

    /** Time since the member was last heard, in milliseconds. */
    long silentMillis(long nowMillis) {
        return nowMillis - heardMillis;
    }

    boolean heardWithin(long nowMillis, long spanMillis) {
        return nowMillis - heardMillis < spanMillis;
    }

    boolean awaitingResponse() {
        return awaitingResponse;
    }

    void sent() {
        awaitingResponse = true;
    }

    void heard(long nowMillis, long round) {
        heardMillis = nowMillis;
        ackedRound = Math.max(ackedRound, round);
        awaitingResponse = false;
    }

    void matched(long index) {
        matchIndex = Math.max(matchIndex, index);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
    }

    void refused(long hint) {
        long earlier = Math.min(nextIndex - 1, hint + 1);
        nextIndex = Math.max(matchIndex + 1, Math.max(1, earlier));
    }
}
