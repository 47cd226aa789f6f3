package org.cuminreach.control.node;

import java.util.Optional;
import java.util.Set;
import org.cuminreach.control.replica.ReplicaDriver;
import org.cuminreach.decisions.distribution.QuorumLossDetector;
import org.cuminreach.decisions.distribution.SessionBalancePolicy;

/** What time does to the sessions of a control: some are sent away, some get complete lists. */
final class SessionMaintenance {
    private static final long QUORUM_LOSS_TIMEOUT_MILLIS = 400;
    private static final long REDIRECT_CLOSE_DELAY_MILLIS = 1_000;
    private static final long REBALANCE_RETRY_DELAY_MILLIS = 200;
    private static final long COMPLETE_LIST_DELAY_MILLIS = 30_000;
    private static final int MAX_REDIRECTS_AT_ONCE = 5;
    private static final int MAX_COMPLETE_LISTS_AT_ONCE = 20;

    private final NodeSessionManager owner;
    private final NodeRedirector redirector;
    private final ReplicaDriver replica;
    private final Set<NodeSession> sessions;
    private final PeerLoads loads;
    private final QuorumLossDetector quorumLoss = QuorumLossDetector.of(QUORUM_LOSS_TIMEOUT_MILLIS);
    private Optional<Long> connectedSinceMillis = Optional.empty();
    private volatile boolean targetListComplete;

    SessionMaintenance(
            NodeSessionManager owner,
            NodeRedirector moves,
            ReplicaDriver replica,
            Set<NodeSession> sessions,
            PeerLoads loads) {
        this.owner = owner;
        this.redirector = moves;
        this.replica = replica;
        this.sessions = sessions;
        this.loads = loads;
    }

    /** Tells whether the list of targets here is complete. */
    boolean targetListComplete() {
        return targetListComplete;
    }

    /** Called by one thread. */
    void onTimer(long nowMillis, boolean hasQuorum) {
        if (quorumLoss.isQuorumLost(nowMillis, hasQuorum)) {
            sessions.forEach(
                    session ->
                            redirector.redirect(
                                    session, "no_quorum", NodeRedirector.randomRetryDelayMillis()));
        } else {
            rebalance(nowMillis);
            redirectToOwnDataCentres(nowMillis);
        }
        closeRedirected(nowMillis);
        sendCompleteTargetLists(nowMillis, hasQuorum);
    }

    private void rebalance(long nowMillis) {
        int own = sessions.size();
        int moving =
                SessionBalancePolicy.sessionsToMove(
                        own, loads.recentSessionCounts(nowMillis), MAX_REDIRECTS_AT_ONCE);
        boolean crowded = loads.hasTooManySessions(own, own, nowMillis);
        sessions.stream()
                .filter(NodeSession::isWelcomed)
                .filter(session -> crowded || !redirector.isLocal(session))
                .limit(moving)
                .forEach(
                        session ->
                                redirector.redirect(
                                        session, "uneven", REBALANCE_RETRY_DELAY_MILLIS));
    }

    /** Sends nodes on whose own data centre has got a control since they came. */
    private void redirectToOwnDataCentres(long nowMillis) {
        int moved = 0;
        for (NodeSession session : sessions) {
            if (moved == MAX_REDIRECTS_AT_ONCE) {
                return;
            }
            if (session.isWelcomed() && redirector.redirectToOwnDataCentre(session, nowMillis)) {
                moved++;
            }
        }
    }

    private void closeRedirected(long nowMillis) {
        for (NodeSession session : sessions) {
            session.redirectedMillis()
                    .filter(sentAway -> nowMillis - sentAway > REDIRECT_CLOSE_DELAY_MILLIS)
                    .ifPresent(sentAway -> session.close());
        }
    }

    /**
     * Once this control has been in contact with a quorum and with every other control for a while,
     * each living target has announced itself; its list is complete and sent to a few nodes at a
     * time.
     */
    private void sendCompleteTargetLists(long nowMillis, boolean hasQuorum) {
        int others = replica.membership().members().size() - 1;
        boolean inContact = hasQuorum && loads.recentSessionCounts(nowMillis).size() >= others;
        connectedSinceMillis =
                inContact
                        ? connectedSinceMillis.or(() -> Optional.of(nowMillis))
                        : Optional.empty();
        targetListComplete =
                connectedSinceMillis
                        .filter(since -> nowMillis - since >= COMPLETE_LIST_DELAY_MILLIS)
                        .isPresent();
        if (targetListComplete) {
            sessions.stream()
                    .filter(NodeSession::scheduleCompleteTargets)
                    .limit(MAX_COMPLETE_LISTS_AT_ONCE)
                    .forEach(owner::sendUpdates);
        }
    }
}
