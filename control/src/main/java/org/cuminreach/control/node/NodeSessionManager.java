package org.cuminreach.control.node;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.cuminreach.control.replica.PeerConnections;
import org.cuminreach.control.replica.ReplicaDriver;
import org.cuminreach.decisions.configuration.ConfigurationHistory;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.decisions.distribution.NodeAdmission;
import org.cuminreach.decisions.membership.Announcement;
import org.cuminreach.decisions.membership.TargetRegistry;
import org.cuminreach.decisions.rollout.Evidence;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.settings.Address;
import org.cuminreach.wire.AnnouncementCodec;
import org.cuminreach.wire.generated.Frame;
import org.cuminreach.wire.generated.HoldingBatch;
import org.cuminreach.wire.generated.NodeHolding;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Manages the sessions of the nodes connected to this control, and sends them updates. */
public final class NodeSessionManager {
    private static final Logger LOGGER = LoggerFactory.getLogger(NodeSessionManager.class);
    private static final long HOLDINGS_REFRESH_INTERVAL_MILLIS = 5_000;

    private final String controlName;
    private final String dataCentre;
    private final Address nodeAddress;
    private final ReplicaDriver replica;
    private final PeerConnections peers;
    private final Consumer<List<Evidence>> forwardEvidence;
    private final TargetRegistry registry = TargetRegistry.empty();
    private final TargetLeases leases = new TargetLeases(registry);
    private final HoldingTable holdings = HoldingTable.empty();
    private final PeerLoads peerLoads = new PeerLoads();
    private final Set<NodeSession> sessions = ConcurrentHashMap.newKeySet();
    private final NodeRedirector redirector;
    private final SessionMaintenance maintenance;
    private final QuorumConfirmations confirmations;
    private final ConfigurationHistory history;
    private volatile SyncFrames frames;
    private long holdingsRefreshedMillis;

    private NodeSessionManager(
            String controlName,
            String dataCentre,
            Address nodeAddress,
            ReplicaDriver replica,
            PeerConnections peers,
            Consumer<List<Evidence>> evidence) {
        this.controlName = controlName;
        this.dataCentre = dataCentre;
        this.nodeAddress = nodeAddress;
        this.replica = replica;
        this.peers = peers;
        this.forwardEvidence = evidence;
        this.redirector = new NodeRedirector(dataCentre, sessions, peerLoads);
        this.maintenance = new SessionMaintenance(this, redirector, replica, sessions, peerLoads);
        this.confirmations = new QuorumConfirmations(replica);
        this.history = ConfigurationHistory.of(replica.configuration());
        this.frames = SyncFrames.of(registry, history, 0, history.current().version(), false);
    }

    /**
     * Returns a manager without sessions.
     *
     * @param controlName name of the control
     * @param dataCentre where it runs
     * @param nodeAddress where nodes reach this control
     * @param replica replica of the committed configuration
     * @param peers links to the other controls
     * @param evidence receives the evidence that nodes report
     * @return the manager
     */
    public static NodeSessionManager create(
            String controlName,
            String dataCentre,
            Address nodeAddress,
            ReplicaDriver replica,
            PeerConnections peers,
            Consumer<List<Evidence>> evidence) {
        NodeSessionManager created =
                new NodeSessionManager(
                        controlName, dataCentre, nodeAddress, replica, peers, evidence);
        replica.addListener(created::onConfigurationChanged);
        return created;
    }

    /**
     * Returns a listener for a new connection of a node.
     *
     * @return the listener
     */
    public NodeSession newSession() {
        return new NodeSession(this);
    }

    /**
     * Redirects nodes when this control has lost its quorum or has too many of them, expires
     * leases, and reports the holdings of the nodes to the other controls.
     *
     * @param nowMillis current time
     */
    public void onTimer(long nowMillis) {
        boolean hasQuorum = replica.hasQuorum(nowMillis);
        maintenance.onTimer(nowMillis, hasQuorum);
        sessions.forEach(session -> leases.renew(session.node(), nowMillis));
        List<Announcement> gone = leases.expireLeases(nowMillis, hasQuorum);
        gone.forEach(announcement -> holdings.remove(announcement.node()));
        broadcastAnnouncements(gone);
        broadcastHoldings(nowMillis);
    }

    /** Sends each node the updates that it lacks, with all changes since the last call combined. */
    public void sendUpdates() {
        SyncFrames current = frames();
        sessions.forEach(session -> session.sendUpdates(current));
    }

    /**
     * Merges announcements that another control forwarded.
     *
     * @param announcements the announcements
     */
    public void mergeAnnouncements(Collection<Announcement> announcements) {
        updateLeases(registry.merge(announcements));
    }

    /**
     * Merges the holdings and the load that another control reported.
     *
     * @param batch the holdings of its nodes, and its number of sessions
     */
    public void mergeHoldings(HoldingBatch batch) {
        long nowMillis = ProcessClock.monotonicMillis();
        if (batch.isSetControl()) {
            Optional<Address> nodeAddress =
                    Optional.ofNullable(batch.getNodeAddress()).flatMap(Address::parse);
            peerLoads.record(
                    batch.getControl(),
                    batch.getSessions(),
                    nodeAddress,
                    batch.isSetDataCentre() ? batch.getDataCentre() : "",
                    nowMillis);
        }
        batch.getHoldings().forEach(holding -> leases.renew(holding.getNode(), nowMillis));
        Set<String> ownNodes = sessions.stream().map(NodeSession::node).collect(Collectors.toSet());
        holdings.merge(batch.getHoldings(), node -> !ownNodes.contains(node) && !isGone(node));
    }

    /**
     * Returns all announcements that this control knows.
     *
     * @return the announcements, including those of targets that are gone
     */
    public List<Announcement> announcements() {
        return registry.all();
    }

    /**
     * Returns the configuration version that each node holds.
     *
     * @return holdings by node name
     */
    public Map<String, NodeHolding> holdings() {
        return holdings.all();
    }

    /**
     * Returns the progress of a configuration version.
     *
     * @param version the version
     * @param maxNames maximum number of lagging nodes to list
     * @return how many nodes hold it or a later one, and which nodes lag
     */
    public Convergence convergence(long version, int maxNames) {
        return holdings.convergence(version, ProcessClock.wallMillis(), maxNames);
    }

    /**
     * Returns the number of connected nodes.
     *
     * @return number of open sessions
     */
    public int sessionCount() {
        return sessions.size();
    }

    /**
     * Returns the number of leases whose expiry is withheld.
     *
     * @return number of targets that are kept in their last known state
     */
    public int withheldLeases() {
        return leases.withheldCount();
    }

    /**
     * Returns the number of redirected nodes, by reason.
     *
     * @return counts since the process started
     */
    public Map<String, Long> redirectsByReason() {
        return redirector.redirectsByReason();
    }

    /** Returns the addresses at which nodes reach this control and those that reported recently. */
    List<String> controlAddresses() {
        List<String> addresses = new ArrayList<>();
        addresses.add(nodeAddress.toString());
        peerLoads.nodeAddresses().forEach(address -> addresses.add(address.toString()));
        return addresses;
    }

    String controlName() {
        return controlName;
    }

    void onHello(NodeSession session) {
        sessions.add(session);
        long nowMillis = ProcessClock.monotonicMillis();
        if (!replica.hasQuorum(nowMillis)) {
            redirector.redirect(session, "no_quorum", NodeRedirector.randomRetryDelayMillis());
            return;
        }
        if (redirector.redirectToOwnDataCentre(session, nowMillis)) {
            return;
        }
        switch (redirector.tryAdmit(nowMillis)) {
            case NodeAdmission.RetryLater later ->
                    redirector.redirect(session, "busy", later.waitMillis());
            case NodeAdmission.Admitted admitted ->
                    confirmations
                            .request()
                            .whenComplete(
                                    (index, failure) -> {
                                        if (failure == null) {
                                            welcome(session);
                                        } else {
                                            redirector.redirect(
                                                    session,
                                                    "no_confirmation",
                                                    NodeRedirector.randomRetryDelayMillis());
                                        }
                                    });
        }
    }

    void onAnnouncements(List<Announcement> announcements) {
        List<Announcement> changed = registry.merge(announcements);
        for (Announcement announcement : changed) {
            LOGGER.info(
                    "event=target_announced node={} service={} version={} phase={} sequence={}",
                    announcement.node(),
                    announcement.service(),
                    announcement.version(),
                    announcement.phase(),
                    announcement.sequence());
        }
        updateLeases(changed);
        broadcastAnnouncements(changed);
    }

    /** Completes with the version that a quorum has confirmed after this call. */
    CompletableFuture<Long> confirmedVersion() {
        return confirmations.requestVersion();
    }

    void forwardEvidence(List<Evidence> evidence) {
        forwardEvidence.accept(evidence);
    }

    void recordHolding(NodeSession session) {
        holdings.record(session.node(), session.heldVersion(), ProcessClock.wallMillis());
    }

    void sendUpdates(NodeSession session) {
        session.sendUpdates(frames());
    }

    void onClosed(NodeSession session) {
        sessions.remove(session);
        leases.sessionClosed(session, ProcessClock.monotonicMillis());
    }

    private void welcome(NodeSession session) {
        Optional<Long> laterIncarnation =
                registry.find(session.node())
                        .map(Announcement::incarnation)
                        .filter(known -> known > session.incarnation());
        if (!session.welcome(laterIncarnation, frames().targetListComplete())) {
            return;
        }
        if (session.heldVersion() > frames().version()) {
            LOGGER.error(
                    "event=node_version_ahead node={} held_version={} committed_version={}",
                    session.node(),
                    session.heldVersion(),
                    frames().version());
        }
        recordHolding(session);
        sendUpdates(session);
    }

    private void broadcastHoldings(long nowMillis) {
        List<NodeHolding> reported = holdings.drainUnsent();
        if (nowMillis - holdingsRefreshedMillis >= HOLDINGS_REFRESH_INTERVAL_MILLIS) {
            holdingsRefreshedMillis = nowMillis;
            reported = holdings.holdingsOf(sessions.stream().map(NodeSession::node).toList());
        } else if (reported.isEmpty()) {
            return;
        }
        peers.broadcast(Frame.holdings(batch(reported)));
    }

    /**
     * Returns the node address, data centre and number of sessions of this control.
     *
     * @return a batch without holdings
     */
    public HoldingBatch ownLoad() {
        return batch(List.of());
    }

    private HoldingBatch batch(List<NodeHolding> reported) {
        return new HoldingBatch(reported)
                .setControl(controlName)
                .setSessions(sessions.size())
                .setNodeAddress(nodeAddress.toString())
                .setDataCentre(dataCentre);
    }

    private boolean isGone(String node) {
        return registry.find(node).map(Announcement::isGone).orElse(false);
    }

    private void updateLeases(List<Announcement> changed) {
        long nowMillis = ProcessClock.monotonicMillis();
        for (Announcement announcement : changed) {
            if (announcement.isGone()) {
                holdings.remove(announcement.node());
            } else {
                leases.renew(announcement.node(), nowMillis);
            }
        }
    }

    private void broadcastAnnouncements(List<Announcement> changed) {
        if (!changed.isEmpty()) {
            peers.broadcast(AnnouncementCodec.toFrame(changed));
        }
    }

    private void onConfigurationChanged(MeshConfiguration configuration) {
        synchronized (history) {
            history.advance(configuration);
        }
        holdings.recordCommittedVersion(configuration.version(), ProcessClock.wallMillis());
        LOGGER.info(
                "event=configuration_pushed configuration={} sessions={}",
                configuration.version(),
                sessions.size());
        sendUpdates();
    }

    private SyncFrames frames() {
        SyncFrames current = frames;
        long revision = registry.revision();
        long version = currentVersion();
        if (!current.matches(revision, version, maintenance.targetListComplete())) {
            current =
                    SyncFrames.of(
                            registry, history, revision, version, maintenance.targetListComplete());
            frames = current;
        }
        return current;
    }

    private long currentVersion() {
        synchronized (history) {
            return history.current().version();
        }
    }
}
