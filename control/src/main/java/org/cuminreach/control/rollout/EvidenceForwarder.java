package org.cuminreach.control.rollout;

import java.util.List;
import org.cuminreach.control.replica.PeerConnections;
import org.cuminreach.control.replica.ReplicaDriver;
import org.cuminreach.decisions.rollout.Evidence;
import org.cuminreach.wire.EvidenceCodec;

/** Forwards the evidence that nodes report to the leader, which judges the rollouts. */
public final class EvidenceForwarder {
    private final ReplicaDriver replica;
    private final PeerConnections peers;
    private final RolloutController controller;

    private EvidenceForwarder(
            ReplicaDriver replica, PeerConnections peers, RolloutController controller) {
        this.replica = replica;
        this.peers = peers;
        this.controller = controller;
    }

    /**
     * Returns a forwarder.
     *
     * @param replica tells which control is the leader
     * @param peers connections to the other controls, including the leader
     * @param controller receives the evidence when this control is the leader
     * @return the forwarder
     */
    public static EvidenceForwarder create(
            ReplicaDriver replica, PeerConnections peers, RolloutController controller) {
        return new EvidenceForwarder(replica, peers, controller);
    }

    /**
     * Forwards evidence from a node of this control.
     *
     * @param evidence the evidence; dropped when no leader is known
     */
    public void forward(List<Evidence> evidence) {
        if (replica.isLeader()) {
            controller.add(evidence);
        } else {
            replica.leader()
                    .ifPresent(leader -> peers.send(leader, EvidenceCodec.toFrame(evidence)));
        }
    }
}
