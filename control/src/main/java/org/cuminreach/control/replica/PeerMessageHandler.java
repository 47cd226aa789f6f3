package org.cuminreach.control.replica;

import java.util.List;
import org.cuminreach.decisions.membership.Announcement;
import org.cuminreach.decisions.rollout.Evidence;
import org.cuminreach.wire.MalformedFrameException;
import org.cuminreach.wire.generated.Frame;
import org.cuminreach.wire.generated.HoldingBatch;
import org.cuminreach.wire.generated.JoinRequest;

/** Handles the messages of other controls that are not part of Raft. */
public interface PeerMessageHandler {
    /**
     * Returns the announcements to send to a control after connecting to it.
     *
     * @return every announcement known here
     */
    List<Announcement> knownAnnouncements();

    /**
     * Returns the address and session count of this control, to send to a control after connecting
     * to it.
     *
     * @return a batch without holdings
     */
    HoldingBatch ownLoad();

    /**
     * Handles announcements forwarded by another control.
     *
     * @param announcements the announcements
     */
    void receiveAnnouncements(List<Announcement> announcements);

    /**
     * Handles rollout evidence that another control sent because this one is the leader.
     *
     * @param evidence the evidence
     */
    void receiveEvidence(List<Evidence> evidence);

    /**
     * Handles a request of a control to become a member, or to leave the group.
     *
     * @param request the request
     * @param from identity of the sending control, which may have forwarded it
     */
    void receiveJoinRequest(JoinRequest request, String from);

    /**
     * Handles the configuration versions that the nodes of another control hold.
     *
     * @param batch the version of each node, and the session count of the control
     */
    void receiveHoldings(HoldingBatch batch);

    /**
     * Records that another control exchanges reports of suspected requests.
     *
     * @param control identity of the control
     */
    void addSharingControl(String control);

    /**
     * Handles any other frame.
     *
     * @param frame the frame
     * @param from identity of the sending control
     * @throws MalformedFrameException when no control sends such a frame, or a value in it is out
     *     of range
     */
    void receive(Frame frame, String from) throws MalformedFrameException;
}
