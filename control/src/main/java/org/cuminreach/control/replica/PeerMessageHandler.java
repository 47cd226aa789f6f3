package org.cuminreach.control.replica;

import java.util.List;
import org.cuminreach.decisions.membership.Announcement;
import org.cuminreach.decisions.rollout.Evidence;
import org.cuminreach.wire.generated.HoldingBatch;
import org.cuminreach.wire.generated.JoinRequest;

/** Hears what other controls say besides the replicated log. */
public interface PeerMessageHandler {
    /**
     * Returns what this control tells another one that it has just reached.
     *
     * @return every announcement known here
     */
    List<Announcement> knownAnnouncements();

    /**
     * Returns where this control is and how many sessions it has, for a control that it has just
     * reached.
     *
     * @return a batch without holdings
     */
    HoldingBatch ownLoad();

    /**
     * Another control passed on announcements.
     *
     * @param announcements the announcements
     */
    void receiveAnnouncements(List<Announcement> announcements);

    /**
     * Another control passed on evidence, because this one leads.
     *
     * @param evidence the evidence
     */
    void receiveEvidence(List<Evidence> evidence);

    /**
     * A control asked to become a member.
     *
     * @param request the request
     * @param from identity of the control that passed it here
     */
    void receiveJoinRequest(JoinRequest request, String from);

    /**
     * Another control told which versions its nodes hold.
     *
     * @param batch the version of each node, and how many sessions the control has
     */
    void receiveHoldings(HoldingBatch batch);
}
