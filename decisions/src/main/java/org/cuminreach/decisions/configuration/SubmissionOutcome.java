package org.cuminreach.decisions.configuration;

import java.util.List;
import org.cuminreach.settings.Fault;

/** Outcome of a document submission, determined when its log entry is applied. */
public sealed interface SubmissionOutcome {
    /**
     * The document was accepted.
     *
     * @param version the new document version
     */
    record Accepted(long version) implements SubmissionOutcome {}

    /**
     * The document was refused because another one was accepted in the meantime.
     *
     * @param currentVersion current document version
     */
    record RefusedAsStale(long currentVersion) implements SubmissionOutcome {}

    /**
     * The document was refused because of faults.
     *
     * @param faults all faults found
     */
    record RefusedAsFaulty(List<Fault> faults) implements SubmissionOutcome {
        /** Makes a defensive copy of the list. */
        public RefusedAsFaulty {
            faults = List.copyOf(faults);
        }
    }
}
