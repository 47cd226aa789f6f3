package org.cuminreach.decisions.configuration;

import java.util.List;
import org.cuminreach.settings.Fault;

/** What came of a submitted document, as decided by the log. */
public sealed interface SubmissionOutcome {
    /**
     * Accepted whole.
     *
     * @param version the new document version
     */
    record Accepted(long version) implements SubmissionOutcome {}

    /**
     * Refused: another document was accepted in the meantime.
     *
     * @param currentVersion document version in force
     */
    record RefusedAsStale(long currentVersion) implements SubmissionOutcome {}

    /**
     * Refused whole.
     *
     * @param faults every fault found
     */
    record RefusedAsFaulty(List<Fault> faults) implements SubmissionOutcome {
        /** Copies the list. */
        public RefusedAsFaulty {
            faults = List.copyOf(faults);
        }
    }
}
