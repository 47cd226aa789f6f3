package org.cuminreach.decisions.membership;

import java.util.List;

/**
 * What becomes of leases that nobody has renewed.
 *
 * @param ended targets that count as gone
 * @param withheld targets that are kept as last known, because too many ended together
 */
public record LeaseDecision(List<Announcement> ended, List<Announcement> withheld) {
    /** Copies the lists. */
    public LeaseDecision {
        ended = List.copyOf(ended);
        withheld = List.copyOf(withheld);
    }
}
