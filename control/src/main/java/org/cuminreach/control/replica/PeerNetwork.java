package org.cuminreach.control.replica;

import org.cuminreach.decisions.agreement.Membership;
import org.cuminreach.wire.generated.Frame;

/** Unreliable transport of frames to other controls; frames may be lost. */
public interface PeerNetwork {
    /**
     * Sends a frame.
     *
     * @param to identity of the receiver
     * @param frame the frame
     * @return false when the frame was definitely not sent
     */
    boolean send(String to, Frame frame);

    /**
     * Updates the set of other controls.
     *
     * @param membership the current membership
     */
    void updateMembership(Membership membership);
}
