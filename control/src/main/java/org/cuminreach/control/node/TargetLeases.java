package org.cuminreach.control.node;

import java.util.List;
import java.util.Optional;
import org.cuminreach.decisions.membership.Announcement;
import org.cuminreach.decisions.membership.LeaseDecision;
import org.cuminreach.decisions.membership.LeaseSettings;
import org.cuminreach.decisions.membership.LeaseTable;
import org.cuminreach.decisions.membership.TargetRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Applies the decisions of {@link LeaseTable} to the registry. Safe for use by several threads. */
final class TargetLeases {
    private static final Logger LOGGER = LoggerFactory.getLogger(TargetLeases.class);
    private static final long GONE_RETENTION_MILLIS = 3_600_000;

    private final TargetRegistry registry;
    private final LeaseTable table = LeaseTable.empty(LeaseSettings.defaults());
    private int withheldCount;

    TargetLeases(TargetRegistry registry) {
        this.registry = registry;
    }

    synchronized void renew(String node, long nowMillis) {
        table.renew(node, nowMillis);
    }

    /**
     * Shortens the lease of a node, unless it has since announced itself through another control.
     */
    synchronized void sessionClosed(NodeSession session, long nowMillis) {
        boolean renewed =
                registry.find(session.node())
                        .filter(
                                known ->
                                        known.incarnation() != session.incarnation()
                                                || known.sequence() != session.announcedSequence())
                        .isPresent();
        if (!renewed) {
            table.recordSessionClosed(session.node(), nowMillis);
        }
    }

    /** Expires the leases that are due, and returns announcements that the targets are gone. */
    synchronized List<Announcement> expireLeases(long nowMillis, boolean hasQuorum) {
        LeaseDecision decision = table.decide(nowMillis, hasQuorum, registry.all());
        recordWithheld(decision.withheld());
        registry.removeGone(nowMillis, GONE_RETENTION_MILLIS);
        return decision.expired().stream()
                .map(expired -> registry.expire(expired.node(), expired.incarnation()))
                .flatMap(Optional::stream)
                .peek(
                        gone ->
                                LOGGER.info(
                                        "event=lease_expired node={} service={} data_centre={}",
                                        gone.node(),
                                        gone.service(),
                                        gone.dataCentre()))
                .toList();
    }

    synchronized int withheldCount() {
        return withheldCount;
    }

    private void recordWithheld(List<Announcement> targets) {
        if (targets.size() != withheldCount) {
            LOGGER.warn(
                    "event=lease_expiries_withheld targets={} previously={} reason=mass_expiry",
                    targets.size(),
                    withheldCount);
        }
        withheldCount = targets.size();
    }
}
