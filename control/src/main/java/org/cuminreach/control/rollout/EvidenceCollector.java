package org.cuminreach.control.rollout;

import java.util.List;
import org.cuminreach.control.replica.PeerConnections;
import org.cuminreach.control.replica.ReplicaDriver;
import org.cuminreach.decisions.rollout.Evidence;
import org.cuminreach.wire.EvidenceCodec;

/** Brings the evidence of nodes to the leader, where the judge works. */
public final class EvidenceCollector {
    private final ReplicaDriver replica;
    private final PeerConnections peers;
    private final RolloutConductor conductor;

    private EvidenceCollector(
            ReplicaDriver replica, PeerConnections peers, RolloutConductor conductor) {
        this.replica = replica;
        this.peers = peers;
        this.conductor = conductor;
    }

    /**
     * Returns a collector.
     *
     * @param replica tells who leads
     * @param peers reach the leader
     * @param conductor works when this control leads
     * @return the collector
     */
    public static EvidenceCollector create(
            ReplicaDriver replica, PeerConnections peers, RolloutConductor conductor) {
        return new EvidenceCollector(replica, peers, conductor);
    }

    /**
     * Takes evidence of a node of this control.
     *
     * @param evidence the evidence; lost when there is no leader
     */
    public void collect(List<Evidence> evidence) {
        if (replica.isLeader()) {
            conductor.add(evidence);
        } else {
            replica.leader()
                    .ifPresent(leader -> peers.send(leader, EvidenceCodec.toFrame(evidence)));
        }
    }
}
