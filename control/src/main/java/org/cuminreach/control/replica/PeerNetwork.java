package org.cuminreach.control.replica;

import org.cuminreach.decisions.agreement.Membership;
import org.cuminreach.wire.generated.Frame;

/** Carries frames to other controls; any of them may be lost. */
public interface PeerNetwork {
    /**
     * Sends a frame.
     *
     * @param to identity of the receiver
     * @param frame the frame
     * @return false when it was certainly not sent
     */
    boolean send(String to, Frame frame);

    /**
     * Takes over who the other controls are.
     *
     * @param membership the membership in force
     */
    void updateMembership(Membership membership);
}
