package org.cuminreach.decisions.agreement;

import java.util.List;

/** A message between two replicas. */
public sealed interface Message {
    /**
     * Returns the term of the sender, or for a pre-vote the term it would campaign in.
     *
     * @return the term
     */
    long term();

    /**
     * Asks for a vote.
     *
     * @param term term of the campaign
     * @param lastIndex last index of the candidate's log
     * @param lastTerm term of that entry
     * @param preVote true when the candidate only asks whether it could win
     */
    record VoteRequest(long term, long lastIndex, long lastTerm, boolean preVote)
            implements Message {}

    /**
     * Answers a {@link VoteRequest}.
     *
     * @param term term of the voter, or of the granted campaign
     * @param granted true when the vote was given
     * @param preVote as in the request
     */
    record VoteResponse(long term, boolean granted, boolean preVote) implements Message {}

    /**
     * Appends entries; without entries it is a heartbeat.
     *
     * @param term term of the leader
     * @param previousIndex index before the first entry
     * @param previousTerm term of the entry there
     * @param entries the entries, possibly none
     * @param commitIndex highest index the leader knows to be committed
     * @param round number of the leader's broadcast, which the answer repeats
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
     * Answers an {@link AppendRequest} or a {@link SnapshotRequest}, after syncing.
     *
     * @param term term of the follower
     * @param success true when the follower's log matches up to {@code matchIndex}
     * @param matchIndex highest matching index, or on refusal a hint where to try next
     * @param round as in the request
     */
    record AppendResponse(long term, boolean success, long matchIndex, long round)
            implements Message {}

    /**
     * Replaces the follower's log by a snapshot.
     *
     * @param term term of the leader
     * @param snapshot the snapshot
     * @param round number of the leader's broadcast
     */
    record SnapshotRequest(long term, Snapshot snapshot, long round) implements Message {}

    /**
     * Asks the leader to confirm with a quorum that it still leads.
     *
     * @param term term of the follower
     * @param confirmation number chosen by the follower
     */
    record ConfirmRequest(long term, long confirmation) implements Message {}

    /**
     * Answers a {@link ConfirmRequest} once a quorum has answered.
     *
     * @param term term of the leader
     * @param confirmation as in the request
     * @param index index that was committed when the request arrived
     */
    record ConfirmResponse(long term, long confirmation, long index) implements Message {}
}
