package org.cuminreach.decisions.agreement;

import java.util.List;
import java.util.Optional;

/** What came of a proposal at this replica. */
public sealed interface ProposalOutcome {
    /**
     * The entry was appended. Whether it gets committed shows later.
     *
     * @param index index of the entry
     * @param term term of the entry; another term at that index means that the entry was lost
     * @param effects what to do, in order
     */
    record Appended(long index, long term, List<Effect> effects) implements ProposalOutcome {}

    /**
     * This replica does not lead; nothing was appended.
     *
     * @param leader identity of the leader, if known
     */
    record NotLeader(Optional<String> leader) implements ProposalOutcome {}

    /**
     * The membership may not change this way now; nothing was appended.
     *
     * @param reason why
     */
    record Refused(String reason) implements ProposalOutcome {}
}
