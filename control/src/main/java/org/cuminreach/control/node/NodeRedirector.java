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

/** Paces the nodes that come to this control, and sends nodes on to others. */
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

    /** Decides whether a node that has come is welcomed now. */
    synchronized NodeAdmission tryAdmit(long nowMillis) {
        return admissionBucket.tryAdmit(nowMillis);
    }

    /** Tells whether a node runs in the data centre of this control. */
    boolean isLocal(NodeSession session) {
        return session.dataCentre().equals(dataCentre);
    }

    /**
     * Sends a node to a control in its own data centre, so that documents cross no link between
     * data centres. It stays where there is none, or when it does not let itself be moved now.
     */
    boolean redirectToOwnDataCentre(NodeSession session, long nowMillis) {
        if (isLocal(session) || !session.mayMove()) {
            return false;
        }
        Optional<Address> nearer =
                loads.findInDataCentre(
                        session.dataCentre(), session.node(), sessions.size(), nowMillis);
        nearer.ifPresent(
                address ->
                        redirect(
                                session, new NodeRedirect("far", 0).setNearer(address.toString())));
        return nearer.isPresent();
    }

    void redirect(NodeSession session, String reason, long waitMillis) {
        redirect(session, new NodeRedirect(reason, waitMillis));
    }

    private void redirect(NodeSession session, NodeRedirect redirect) {
        if (session.redirect(redirect, ProcessClock.monotonicMillis())) {
            redirects.count(redirect.getReason());
        }
    }

    /** Returns how many nodes were sent away, by reason. */
    Map<String, Long> redirectsByReason() {
        return redirects.byReason();
    }

    /** Draws when a node that is refused may come back, so that a herd does not come at once. */
    static long randomRetryDelayMillis() {
        return ThreadLocalRandom.current().nextLong(MIN_RETRY_DELAY_MILLIS, MAX_RETRY_DELAY_MILLIS);
    }
}
