package org.cuminreach.decisions.agreement;

import java.util.List;
import java.util.Optional;

/** A follower's work: matching its log to the leader's. */
final class FollowerRole {
    private static final long NO_ROUND = 0;

    private final ReplicaState state;

    FollowerRole(ReplicaState state) {
        this.state = state;
    }

    void receiveEntries(long nowMillis, String from, Message.AppendRequest request) {
        if (rejectStaleTerm(from, request.term())) {
            return;
        }
        state.recordLeaderContact(nowMillis);
        state.setLeader(Optional.of(from));
        if (request.previousIndex() < state.log.snapshot().lastIndex()) {
            respond(from, true, state.log.snapshot().lastIndex(), request.round());
            return;
        }
        boolean matches =
                state.log.termAt(request.previousIndex()).orElse(-1) == request.previousTerm();
        if (!matches) {
            respond(from, false, conflictHint(request.previousIndex()), request.round());
            return;
        }
        appendMissing(request.entries());
        long match = request.previousIndex() + request.entries().size();
        state.commitTo(Math.min(request.commitIndex(), match));
        respond(from, true, match, request.round());
    }

    void receiveSnapshot(long nowMillis, String from, Message.SnapshotRequest request) {
        if (rejectStaleTerm(from, request.term())) {
            return;
        }
        state.recordLeaderContact(nowMillis);
        state.setLeader(Optional.of(from));
        installIfNewer(request.snapshot());
        respond(from, true, request.snapshot().lastIndex(), request.round());
    }

    /** A snapshot that the log matches commits it and leaves the acknowledged entries after it. */
    private void installIfNewer(Snapshot snapshot) {
        if (snapshot.lastIndex() <= state.commitIndex()) {
            return;
        }
        boolean matches = state.log.termAt(snapshot.lastIndex()).orElse(-1) == snapshot.lastTerm();
        if (matches) {
            state.commitTo(snapshot.lastIndex());
        } else {
            state.install(snapshot);
        }
    }

    /** The answer has this term, in which the round of an earlier leadership means nothing. */
    private boolean rejectStaleTerm(String from, long term) {
        if (term >= state.term()) {
            return false;
        }
        respond(from, false, state.log.lastIndex(), NO_ROUND);
        return true;
    }

    /** Skips a whole conflicting term: every entry of it is to be replaced. */
    private long conflictHint(long previousIndex) {
        if (previousIndex > state.log.lastIndex()) {
            return state.log.lastIndex();
        }
        long conflicting = state.log.termAt(previousIndex).orElse(0);
        long hint = previousIndex - 1;
        while (hint > state.commitIndex() && state.log.termAt(hint).orElse(-1) == conflicting) {
            hint--;
        }
        return hint;
    }

    private void appendMissing(List<LogEntry> entries) {
        for (int at = 0; at < entries.size(); at++) {
            LogEntry entry = entries.get(at);
            boolean present = state.log.termAt(entry.index()).orElse(-1) == entry.term();
            if (!present) {
                if (entry.index() <= state.log.lastIndex()) {
                    state.truncateFrom(entry.index());
                }
                state.append(entries.subList(at, entries.size()));
                return;
            }
        }
    }

    private void respond(String to, boolean success, long matchIndex, long round) {
        state.send(to, new Message.AppendResponse(state.term(), success, matchIndex, round));
    }
}
