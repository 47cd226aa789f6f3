package org.cuminreach.decisions.membership;

import java.util.List;

/**
 * What becomes of leases that nobody has renewed.
 *
 * @param expired targets that count as gone
 * @param withheld targets that are kept as last known, because too many ended together
 */
public record LeaseDecision(List<Announcement> expired, List<Announcement> withheld) {
    /** Copies the lists. */
    public LeaseDecision {
        expired = List.copyOf(expired);
        withheld = List.copyOf(withheld);
    }
}
