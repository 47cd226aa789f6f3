package org.cuminreach.decisions.agreement;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** A campaign: first the pre-vote, which changes no term anywhere, then the vote. */
final class Candidacy {
    private final ReplicaState state;
    private final Set<String> granted = new HashSet<>();
    private boolean preVote;

    Candidacy(ReplicaState state) {
        this.state = state;
    }

    /** Starts a campaign; returns true when it is won at once, by a lone voter. */
    boolean start(long nowMillis) {
        state.resetElectionDeadline(nowMillis);
        state.setLeader(Optional.empty());
        preVote = true;
        return ask();
    }

    /** Counts an answer; returns true when the campaign is won. */
    boolean receive(String from, Message.VoteResponse response) {
        boolean current = response.preVote() == preVote && response.term() == campaignTerm();
        if (!current || !response.granted()) {
            return false;
        }
        granted.add(from);
        return advance();
    }

    private boolean ask() {
        granted.clear();
        if (!preVote) {
            state.enterTerm(state.term() + 1, Optional.of(state.self));
        }
        granted.add(state.self);
        Message.VoteRequest request =
                new Message.VoteRequest(
                        campaignTerm(), state.log.lastIndex(), state.log.lastTerm(), preVote);
        for (String voter : state.membership().voters()) {
            if (!voter.equals(state.self)) {
                state.send(voter, request);
            }
        }
        return advance();
    }

    private boolean advance() {
        if (!state.membership().quorumPasses(granted::contains)) {
            return false;
        }
        if (!preVote) {
            return true;
        }
        preVote = false;
        return ask();
    }

    private long campaignTerm() {
        return preVote ? state.term() + 1 : state.term();
    }
}
