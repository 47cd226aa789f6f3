package org.cuminreach.decisions.agreement;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Candidate role: runs the pre-vote, which does not change the term of any replica, and then the
 * vote.
 */
final class CandidateRole {
    private final ReplicaState state;
    private final Set<String> granted = new HashSet<>();
    private boolean preVote;

    CandidateRole(ReplicaState state) {
        this.state = state;
    }

    /** Starts an election; returns true if it is won at once, as by the only voter. */
    boolean start(long nowMillis) {
        state.resetElectionDeadline(nowMillis);
        state.setLeader(Optional.empty());
        preVote = true;
        return requestVotes();
    }

    /** Counts a vote response; returns true once the election is won. */
    boolean receive(String from, Message.VoteResponse response) {
        boolean current = response.preVote() == preVote && response.term() == electionTerm();
        if (!current || !response.granted()) {
            return false;
        }
        granted.add(from);
        return evaluateVotes();
    }

    private boolean requestVotes() {
        granted.clear();
        if (!preVote) {
            state.enterTerm(state.term() + 1, Optional.of(state.self));
        }
        granted.add(state.self);
        Message.VoteRequest request =
                new Message.VoteRequest(
                        electionTerm(), state.log.lastIndex(), state.log.lastTerm(), preVote);
        for (String voter : state.membership().voters()) {
            if (!voter.equals(state.self)) {
                state.send(voter, request);
            }
        }
        return evaluateVotes();
    }

    private boolean evaluateVotes() {
        if (!state.membership().hasQuorum(granted::contains)) {
            return false;
        }
        if (!preVote) {
            return true;
        }
        preVote = false;
        return requestVotes();
    }

    private long electionTerm() {
        return preVote ? state.term() + 1 : state.term();
    }
}
