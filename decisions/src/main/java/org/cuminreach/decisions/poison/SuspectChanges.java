package org.cuminreach.decisions.poison;

import java.util.List;

/**
 * Changes of suspected requests, in order.
 *
 * @param reports the changes
 * @param revision revision that is reached with them
 */
public record SuspectChanges(List<SuspectReport> reports, long revision) {
    /** Copies the reports. */
    public SuspectChanges {
        reports = List.copyOf(reports);
    }
}
