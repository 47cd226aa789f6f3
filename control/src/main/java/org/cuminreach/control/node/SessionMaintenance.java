package org.cuminreach.control.node;

import java.util.Optional;
import java.util.Set;
import org.cuminreach.control.replica.ReplicaDriver;
import org.cuminreach.decisions.distribution.QuorumLossDetector;
import org.cuminreach.decisions.distribution.SessionBalancePolicy;

/** Periodic work on the sessions of a control: redirects nodes and sends complete target lists. */
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
            NodeRedirector redirector,
            ReplicaDriver replica,
            Set<NodeSession> sessions,
            PeerLoads loads) {
        this.owner = owner;
        this.redirector = redirector;
        this.replica = replica;
        this.sessions = sessions;
        this.loads = loads;
    }

    /** Tells whether this control's list of targets is complete. */
    boolean targetListComplete() {
        return targetListComplete;
    }

    /** Runs the periodic work. Not safe for use by several threads at once. */
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
        int toMove =
                SessionBalancePolicy.sessionsToMove(
                        own, loads.recentSessionCounts(nowMillis), MAX_REDIRECTS_AT_ONCE);
        boolean tooMany = loads.hasTooManySessions(own, own, nowMillis);
        sessions.stream()
                .filter(NodeSession::isWelcomed)
                .filter(session -> tooMany || !redirector.isLocal(session))
                .limit(toMove)
                .forEach(
                        session ->
                                redirector.redirect(
                                        session, "uneven", REBALANCE_RETRY_DELAY_MILLIS));
    }

    /** Redirects nodes whose own data centre has got a control since they connected. */
    private void redirectToOwnDataCentres(long nowMillis) {
        int redirected = 0;
        for (NodeSession session : sessions) {
            if (redirected == MAX_REDIRECTS_AT_ONCE) {
                return;
            }
            if (session.isWelcomed() && redirector.redirectToOwnDataCentre(session, nowMillis)) {
                redirected++;
            }
        }
    }

    private void closeRedirected(long nowMillis) {
        for (NodeSession session : sessions) {
            session.redirectedMillis()
                    .filter(since -> nowMillis - since > REDIRECT_CLOSE_DELAY_MILLIS)
                    .ifPresent(since -> session.close());
        }
    }

    /**
     * Sends the complete list of targets to a few nodes at a time. The list counts as complete once
     * this control has been in contact with a quorum and with every other control for {@link
     * #COMPLETE_LIST_DELAY_MILLIS}, since each live target has announced itself by then.
     */
    private void sendCompleteTargetLists(long nowMillis, boolean hasQuorum) {
        int others = replica.membership().members().size() - 1;
        boolean connected = hasQuorum && loads.recentSessionCounts(nowMillis).size() >= others;
        connectedSinceMillis =
                connected
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
