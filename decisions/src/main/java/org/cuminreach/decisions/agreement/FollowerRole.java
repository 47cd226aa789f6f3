package org.cuminreach.decisions.agreement;

import java.util.List;
import java.util.Optional;

/** Follower role: brings the log into agreement with the leader's. */
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
        state.recordLeaderContact(nowMillis, from);
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
        state.recordLeaderContact(nowMillis, from);
        state.setLeader(Optional.of(from));
        installIfNewer(request.snapshot());
        respond(from, true, request.snapshot().lastIndex(), request.round());
    }

    /**
     * Installs a snapshot that is ahead of the commit index. If the log already matches the
     * snapshot, only the commit index moves: the entries after it have been acknowledged to the
     * leader and must be kept.
     */
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

    /**
     * Rejects a request of an earlier term. The response carries the current term and no round:
     * rounds are numbered per leader, so that of an earlier leader must not acknowledge anything.
     */
    private boolean rejectStaleTerm(String from, long term) {
        if (term >= state.term()) {
            return false;
        }
        respond(from, false, state.log.lastIndex(), NO_ROUND);
        return true;
    }

    /** Returns the index before the conflicting term, all of whose entries are to be replaced. */
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
        for (int i = 0; i < entries.size(); i++) {
            LogEntry entry = entries.get(i);
            boolean present = state.log.termAt(entry.index()).orElse(-1) == entry.term();
            if (!present) {
                if (entry.index() <= state.log.lastIndex()) {
                    state.truncateFrom(entry.index());
                }
                state.append(entries.subList(i, entries.size()));
                return;
            }
        }
    }

    private void respond(String to, boolean success, long matchIndex, long round) {
        state.send(to, new Message.AppendResponse(state.term(), success, matchIndex, round));
    }
}
