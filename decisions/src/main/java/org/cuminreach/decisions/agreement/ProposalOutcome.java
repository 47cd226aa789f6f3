package org.cuminreach.decisions.agreement;

import java.util.List;
import java.util.Optional;

/** Outcome of a proposal at this replica. */
public sealed interface ProposalOutcome {
    /**
     * The entry was appended, but is not necessarily committed.
     *
     * @param index index of the entry
     * @param term term of the entry; if another term is committed at that index, the entry is lost
     * @param effects the effects to execute, in order
     */
    record Appended(long index, long term, List<Effect> effects) implements ProposalOutcome {}

    /**
     * This replica is not the leader; nothing was appended.
     *
     * @param leader identity of the leader, if known
     */
    record NotLeader(Optional<String> leader) implements ProposalOutcome {}

    /**
     * The membership change is not allowed at present; nothing was appended.
     *
     * @param reason reason of the refusal
     */
    record Refused(String reason) implements ProposalOutcome {}
}
