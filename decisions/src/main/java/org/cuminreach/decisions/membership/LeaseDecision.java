package org.cuminreach.decisions.membership;

import java.util.List;

/**
 * Decision about leases that were not renewed.
 *
 * @param expired targets that are considered gone
 * @param withheld targets that are kept in their last known state, because too many leases ran out
 *     together
 */
public record LeaseDecision(List<Announcement> expired, List<Announcement> withheld) {
    /** Copies the lists. */
    public LeaseDecision {
        expired = List.copyOf(expired);
        withheld = List.copyOf(withheld);
    }
}
