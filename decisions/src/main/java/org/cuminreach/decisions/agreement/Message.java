package org.cuminreach.decisions.agreement;

import java.util.List;

/** A message between two replicas. */
public sealed interface Message {
    /**
     * Returns the term of the sender, or for a pre-vote the term of the prospective election.
     *
     * @return the term
     */
    long term();

    /**
     * Requests a vote.
     *
     * @param term term of the election
     * @param lastIndex last index of the candidate's log
     * @param lastTerm term of that entry
     * @param preVote true if the candidate only asks whether it would receive the vote
     */
    record VoteRequest(long term, long lastIndex, long lastTerm, boolean preVote)
            implements Message {}

    /**
     * Responds to a {@link VoteRequest}.
     *
     * @param term term of the voter, or of the election if a pre-vote was granted
     * @param granted true if the vote was granted
     * @param preVote as in the request
     */
    record VoteResponse(long term, boolean granted, boolean preVote) implements Message {}

    /**
     * Appends entries; without entries it serves as a heartbeat.
     *
     * @param term term of the leader
     * @param previousIndex index before the first entry
     * @param previousTerm term of the entry there
     * @param entries the entries, possibly none
     * @param commitIndex highest index that the leader knows to be committed
     * @param round number of the leader's broadcast, which the response echoes
     */
    record AppendRequest(
            long term,
            long previousIndex,
            long previousTerm,
            List<LogEntry> entries,
            long commitIndex,
            long round)
            implements Message {}

    /**
     * Responds to an {@link AppendRequest} or a {@link SnapshotRequest}, after syncing.
     *
     * @param term term of the follower
     * @param success true if the follower's log matches up to {@code matchIndex}
     * @param matchIndex highest matching index, or on failure a hint where to try next
     * @param round as in the request
     */
    record AppendResponse(long term, boolean success, long matchIndex, long round)
            implements Message {}

    /**
     * Replaces the follower's log with a snapshot.
     *
     * @param term term of the leader
     * @param snapshot the snapshot
     * @param round number of the leader's broadcast
     */
    record SnapshotRequest(long term, Snapshot snapshot, long round) implements Message {}

    /**
     * Requests that the leader confirm its leadership with a quorum.
     *
     * @param term term of the follower
     * @param confirmation number chosen by the follower
     */
    record ConfirmRequest(long term, long confirmation) implements Message {}

    /**
     * Responds to a {@link ConfirmRequest} once a quorum has confirmed the leader.
     *
     * @param term term of the leader
     * @param confirmation as in the request
     * @param index read index: the commit index when the request arrived, and at least that of the
     *     first entry of the leader's term
     */
    record ConfirmResponse(long term, long confirmation, long index) implements Message {}
}
