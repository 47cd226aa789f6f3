package org.cuminreach.control.node;

import java.util.Optional;
import java.util.Set;
import org.cuminreach.control.replica.ReplicaDriver;
import org.cuminreach.decisions.distribution.QuorumLossDetector;
import org.cuminreach.decisions.distribution.SessionBalancePolicy;

/** What time does to the sessions of a control: some are sent away, some get complete lists. */
final class SessionUpkeep {
    private static final long CUT_OFF_PATIENCE_MILLIS = 400;
    private static final long LEAVE_MILLIS = 1_000;
    private static final long MOVE_MILLIS = 200;
    private static final long SETTLE_MILLIS = 30_000;
    private static final int MOST_MOVED_AT_ONCE = 5;
    private static final int MOST_COMPLETED_AT_ONCE = 20;

    private final MeshSessions owner;
    private final SessionMoves moves;
    private final ReplicaDriver replica;
    private final Set<NodeSession> sessions;
    private final PeerLoads loads;
    private final QuorumLossDetector cutOff = QuorumLossDetector.of(CUT_OFF_PATIENCE_MILLIS);
    private Optional<Long> contactSinceMillis = Optional.empty();
    private volatile boolean settled;

    SessionUpkeep(
            MeshSessions owner,
            SessionMoves moves,
            ReplicaDriver replica,
            Set<NodeSession> sessions,
            PeerLoads loads) {
        this.owner = owner;
        this.moves = moves;
        this.replica = replica;
        this.sessions = sessions;
        this.loads = loads;
    }

    /** Tells whether the list of targets here is complete. */
    boolean settled() {
        return settled;
    }

    /** Called by one thread. */
    void tick(long nowMillis, boolean hasQuorum) {
        if (cutOff.isQuorumLost(nowMillis, hasQuorum)) {
            sessions.forEach(
                    session -> moves.redirect(session, "no_quorum", SessionMoves.comeBackMillis()));
        } else {
            evenOut(nowMillis);
            bringNear(nowMillis);
        }
        closeLingering(nowMillis);
        settle(nowMillis, hasQuorum);
    }

    private void evenOut(long nowMillis) {
        int own = sessions.size();
        int moving =
                SessionBalancePolicy.sessionsToMove(
                        own, loads.fresh(nowMillis), MOST_MOVED_AT_ONCE);
        boolean crowded = loads.isCrowded(own, own, nowMillis);
        sessions.stream()
                .filter(NodeSession::welcomed)
                .filter(session -> crowded || !moves.isNear(session))
                .limit(moving)
                .forEach(session -> moves.redirect(session, "uneven", MOVE_MILLIS));
    }

    /** Sends nodes on whose own data centre has got a control since they came. */
    private void bringNear(long nowMillis) {
        int moved = 0;
        for (NodeSession session : sessions) {
            if (moved == MOST_MOVED_AT_ONCE) {
                return;
            }
            if (session.welcomed() && moves.sendNearer(session, nowMillis)) {
                moved++;
            }
        }
    }

    private void closeLingering(long nowMillis) {
        for (NodeSession session : sessions) {
            session.sentAwayMillis()
                    .filter(sentAway -> nowMillis - sentAway > LEAVE_MILLIS)
                    .ifPresent(sentAway -> session.close());
        }
    }

    /**
     * Once this control has been in contact with a quorum and with every other control for a while,
     * each living target has announced itself; its list is complete and sent to a few nodes at a
     * time.
     */
    private void settle(long nowMillis, boolean hasQuorum) {
        int others = replica.membership().members().size() - 1;
        boolean inContact = hasQuorum && loads.fresh(nowMillis).size() >= others;
        contactSinceMillis =
                inContact ? contactSinceMillis.or(() -> Optional.of(nowMillis)) : Optional.empty();
        settled =
                contactSinceMillis.filter(since -> nowMillis - since >= SETTLE_MILLIS).isPresent();
        if (settled) {
            sessions.stream()
                    .filter(NodeSession::completeTargets)
                    .limit(MOST_COMPLETED_AT_ONCE)
                    .forEach(owner::feed);
        }
    }
}
