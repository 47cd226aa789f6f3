package org.cuminreach.control.rollout;

import java.util.List;
import org.cuminreach.control.replica.PeerLinks;
import org.cuminreach.control.replica.ReplicaDriver;
import org.cuminreach.decisions.rollout.Evidence;
import org.cuminreach.wire.EvidenceCodec;

/** Brings the evidence of nodes to the leader, where the judge works. */
public final class EvidenceForwarder {
    private final ReplicaDriver replica;
    private final PeerLinks peers;
    private final RolloutController controller;

    private EvidenceForwarder(ReplicaDriver replica, PeerLinks peers, RolloutController conductor) {
        this.replica = replica;
        this.peers = peers;
        this.controller = conductor;
    }

    /**
     * Returns a collector.
     *
     * @param replica tells who leads
     * @param peers reach the leader
     * @param conductor works when this control leads
     * @return the collector
     */
    public static EvidenceForwarder create(
            ReplicaDriver replica, PeerLinks peers, RolloutController conductor) {
        return new EvidenceForwarder(replica, peers, conductor);
    }

    /**
     * Takes evidence of a node of this control.
     *
     * @param evidence the evidence; lost when there is no leader
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
