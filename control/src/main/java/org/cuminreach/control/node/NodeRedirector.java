package org.cuminreach.control.node;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.cuminreach.decisions.distribution.AdmissionBucket;
import org.cuminreach.decisions.distribution.NodeAdmission;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.settings.Address;
import org.cuminreach.wire.generated.NodeRedirect;

/** Limits the rate at which nodes are admitted, and redirects nodes to other controls. */
final class NodeRedirector {
    private static final long MIN_RETRY_DELAY_MILLIS = 50;
    private static final long MAX_RETRY_DELAY_MILLIS = 400;

    private static final long MAX_ADMISSION_WAIT_MILLIS = 4_000;
    private static final double ADMISSIONS_PER_SECOND = 500;
    private static final int ADMISSION_BURST = 100;

    private final String dataCentre;
    private final Set<NodeSession> sessions;
    private final PeerLoads loads;
    private final RedirectCounts redirects = new RedirectCounts();
    private final AdmissionBucket admissionBucket =
            AdmissionBucket.full(
                    ADMISSIONS_PER_SECOND,
                    ADMISSION_BURST,
                    MAX_ADMISSION_WAIT_MILLIS,
                    ProcessClock.monotonicMillis());

    NodeRedirector(String dataCentre, Set<NodeSession> sessions, PeerLoads loads) {
        this.dataCentre = dataCentre;
        this.sessions = sessions;
        this.loads = loads;
    }

    /** Decides whether a node that has just connected is admitted now. */
    synchronized NodeAdmission tryAdmit(long nowMillis) {
        return admissionBucket.tryAdmit(nowMillis);
    }

    /** Tells whether a node runs in the data centre of this control. */
    boolean isLocal(NodeSession session) {
        return session.dataCentre().equals(dataCentre);
    }

    /**
     * Redirects a node to a control in its own data centre, so that documents cross no link between
     * data centres. The node stays if there is no such control, or if it does not currently accept
     * a redirect.
     */
    boolean redirectToOwnDataCentre(NodeSession session, long nowMillis) {
        if (isLocal(session) || !session.acceptsRedirect()) {
            return false;
        }
        Optional<Address> localControl =
                loads.findInDataCentre(
                        session.dataCentre(), session.node(), sessions.size(), nowMillis);
        localControl.ifPresent(
                address ->
                        redirect(
                                session, new NodeRedirect("far", 0).setNearer(address.toString())));
        return localControl.isPresent();
    }

    void redirect(NodeSession session, String reason, long waitMillis) {
        redirect(session, new NodeRedirect(reason, waitMillis));
    }

    private void redirect(NodeSession session, NodeRedirect redirect) {
        if (session.redirect(redirect, ProcessClock.monotonicMillis())) {
            redirects.count(redirect.getReason());
        }
    }

    /** Returns the number of redirected nodes, by reason. */
    Map<String, Long> redirectsByReason() {
        return redirects.byReason();
    }

    /** Draws the time after which a redirected node may reconnect; avoids a thundering herd. */
    static long randomRetryDelayMillis() {
        return ThreadLocalRandom.current().nextLong(MIN_RETRY_DELAY_MILLIS, MAX_RETRY_DELAY_MILLIS);
    }
}
