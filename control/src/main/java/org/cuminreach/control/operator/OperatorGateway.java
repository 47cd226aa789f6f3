package org.cuminreach.control.operator;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cuminreach.control.evacuation.EvacuationOrders;
import org.cuminreach.control.replica.PeerConnections;
import org.cuminreach.control.replica.ReplicaDriver;
import org.cuminreach.control.replica.SubmitResult;
import org.cuminreach.decisions.configuration.MeshCommand;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.decisions.membership.Announcement;

/** The operations that a control offers to operators, independent of the protocol. */
public final class OperatorGateway {
    private final ReplicaDriver replica;
    private final PeerConnections peers;
    private final Supplier<List<Announcement>> announcements;
    private final EvacuationOrders evacuations;

    private OperatorGateway(
            ReplicaDriver replica,
            PeerConnections peers,
            Supplier<List<Announcement>> announcements,
            EvacuationOrders evacuations) {
        this.replica = replica;
        this.peers = peers;
        this.announcements = announcements;
        this.evacuations = evacuations;
    }

    /**
     * Creates the gateway of a control.
     *
     * @param replica its replica
     * @param peers its connections to other controls
     * @param announcements supplies the latest announcement of each target
     * @param evacuations orders to evacuate data centres
     * @return the gateway
     */
    public static OperatorGateway create(
            ReplicaDriver replica,
            PeerConnections peers,
            Supplier<List<Announcement>> announcements,
            EvacuationOrders evacuations) {
        return new OperatorGateway(replica, peers, announcements, evacuations);
    }

    /**
     * Submits a document.
     *
     * @param submission the submission
     * @param nowMillis current time
     * @return the result of the submission
     */
    public CompletableFuture<SubmitResult> submit(
            MeshCommand.SubmitDocument submission, long nowMillis) {
        return peers.submit(submission, nowMillis);
    }

    /**
     * Starts or ends the evacuation of a data centre.
     *
     * @param operator name of the operator, for the history
     * @param dataCentre name of the data centre
     * @param evacuate true to start the evacuation, false to end it
     * @return completes once the order is durable, or with the reason why it is not
     */
    public CompletableFuture<SubmitResult> setEvacuation(
            String operator, String dataCentre, boolean evacuate) {
        return evacuations.submit(operator, dataCentre, evacuate);
    }

    /**
     * Reads the configuration after a majority has confirmed that no newer one is committed, which
     * makes the read linearizable.
     *
     * @param nowMillis current time
     * @param timeoutMillis maximum wait for the majority, in milliseconds
     * @return the configuration; fails if the majority does not confirm in time
     */
    public CompletableFuture<MeshConfiguration> confirmedConfiguration(
            long nowMillis, long timeoutMillis) {
        return replica.confirm(nowMillis)
                .orTimeout(timeoutMillis, TimeUnit.MILLISECONDS)
                .thenApply(index -> replica.configuration());
    }

    /**
     * Returns the latest announcement of each target.
     *
     * @return the announcements
     */
    public List<Announcement> announcements() {
        return announcements.get();
    }
}
