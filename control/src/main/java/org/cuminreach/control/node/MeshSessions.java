package org.cuminreach.control.node;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.cuminreach.control.replica.PeerLinks;
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
import org.cuminreach.wire.frame.FrameListener;
import org.cuminreach.wire.generated.Frame;
import org.cuminreach.wire.generated.HoldingBatch;
import org.cuminreach.wire.generated.NodeHolding;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The sessions of the nodes that chose this control, and what they are told. */
public final class MeshSessions {
    private static final Logger LOGGER = LoggerFactory.getLogger(MeshSessions.class);
    private static final long CONFIRMATION_TIMEOUT_MILLIS = 2_000;
    private static final long REFRESH_MILLIS = 5_000;

    private final String controlName;
    private final String dataCentre;
    private final Address nodeAddress;
    private final ReplicaDriver replica;
    private final PeerLinks peers;
    private final Consumer<List<Evidence>> evidence;
    private final TargetRegistry registry = TargetRegistry.empty();
    private final TargetLeases leases = new TargetLeases(registry);
    private final HoldingTable holdings = HoldingTable.empty();
    private final PeerLoads loads = new PeerLoads();
    private final Set<NodeSession> sessions = ConcurrentHashMap.newKeySet();
    private final SessionMoves moves;
    private final SessionUpkeep upkeep;
    private final ConfirmationGate gate;
    private final ConfigurationHistory history;
    private volatile FeedFrames frames;
    private long refreshedMillis;

    private MeshSessions(
            String controlName,
            String dataCentre,
            Address nodeAddress,
            ReplicaDriver replica,
            PeerLinks peers,
            Consumer<List<Evidence>> evidence) {
        this.controlName = controlName;
        this.dataCentre = dataCentre;
        this.nodeAddress = nodeAddress;
        this.replica = replica;
        this.peers = peers;
        this.evidence = evidence;
        this.moves = new SessionMoves(dataCentre, sessions, loads);
        this.upkeep = new SessionUpkeep(this, moves, replica, sessions, loads);
        this.gate = ConfirmationGate.of(this::confirm);
        this.history = ConfigurationHistory.of(replica.configuration());
        this.frames = FeedFrames.of(registry, history, 0, history.current().version(), false);
    }

    /**
     * Returns the sessions of a control, none yet.
     *
     * @param controlName name of the control
     * @param dataCentre where it runs
     * @param nodeAddress where nodes reach this control
     * @param replica the agreed configuration
     * @param peers the other controls
     * @param evidence receives what nodes saw
     * @return the sessions
     */
    public static MeshSessions create(
            String controlName,
            String dataCentre,
            Address nodeAddress,
            ReplicaDriver replica,
            PeerLinks peers,
            Consumer<List<Evidence>> evidence) {
        MeshSessions created =
                new MeshSessions(controlName, dataCentre, nodeAddress, replica, peers, evidence);
        replica.listen(created::push);
        return created;
    }

    /**
     * Returns a listener for a new connection of a node.
     *
     * @return the listener
     */
    public FrameListener newSession() {
        return new NodeSession(this);
    }

    /**
     * Lets time pass: sends nodes away when this control is cut off or has too many, ends leases,
     * and tells other controls what the nodes hold.
     *
     * @param nowMillis present time
     */
    public void tick(long nowMillis) {
        boolean hasQuorum = replica.hasQuorum(nowMillis);
        upkeep.tick(nowMillis, hasQuorum);
        sessions.forEach(session -> leases.vouch(session.node(), nowMillis));
        List<Announcement> gone = leases.tick(nowMillis, hasQuorum);
        gone.forEach(announcement -> holdings.forget(announcement.node()));
        spread(gone);
        tellPeers(nowMillis);
    }

    /** Sends each node what it lacks. Changes since the last call travel together. */
    public void flush() {
        FeedFrames present = frames();
        sessions.forEach(session -> session.flush(present));
    }

    /**
     * Merges announcements that another control passed on.
     *
     * @param announcements the announcements
     */
    public void mergeFromPeer(Collection<Announcement> announcements) {
        noteNews(registry.merge(announcements));
    }

    /**
     * Merges what another control told of its nodes.
     *
     * @param batch its nodes, and how many sessions it has
     */
    public void mergeHoldings(HoldingBatch batch) {
        long nowMillis = ProcessClock.monotonicMillis();
        if (batch.isSetControl()) {
            Optional<Address> nodeAddress =
                    Optional.ofNullable(batch.getNodeAddress()).flatMap(Address::parse);
            loads.heard(
                    batch.getControl(),
                    batch.getSessions(),
                    nodeAddress,
                    batch.isSetDataCentre() ? batch.getDataCentre() : "",
                    nowMillis);
        }
        batch.getHoldings().forEach(holding -> leases.vouch(holding.getNode(), nowMillis));
        Set<String> here = sessions.stream().map(NodeSession::node).collect(Collectors.toSet());
        holdings.merge(batch.getHoldings(), node -> !here.contains(node) && !isGone(node));
    }

    /**
     * Returns every announcement known here.
     *
     * @return the announcements, also of targets that are gone
     */
    public List<Announcement> announcements() {
        return registry.all();
    }

    /**
     * Returns which version each node holds.
     *
     * @return holdings by node name
     */
    public Map<String, NodeHolding> holdings() {
        return holdings.all();
    }

    /**
     * Tells how far a version has come.
     *
     * @param version the version
     * @param mostNames most lagging nodes that are named
     * @return how many nodes hold it, and who lags
     */
    public Convergence convergence(long version, int mostNames) {
        return holdings.convergence(version, ProcessClock.wallMillis(), mostNames);
    }

    /**
     * Returns how many nodes chose this control.
     *
     * @return open sessions
     */
    public int sessionCount() {
        return sessions.size();
    }

    /**
     * Returns how many leases are over but withheld.
     *
     * @return targets that are kept as last known
     */
    public int withheldLeases() {
        return leases.withheld();
    }

    /**
     * Returns how many nodes were sent away, by reason.
     *
     * @return counts since the start
     */
    public Map<String, Long> redirects() {
        return moves.byReason();
    }

    /** Where nodes reach this control and the others that were heard lately. */
    List<String> controlAddresses() {
        List<String> addresses = new ArrayList<>();
        addresses.add(nodeAddress.toString());
        loads.nodeAddresses().forEach(address -> addresses.add(address.toString()));
        return addresses;
    }

    String controlName() {
        return controlName;
    }

    void greeted(NodeSession session) {
        sessions.add(session);
        long nowMillis = ProcessClock.monotonicMillis();
        if (!replica.hasQuorum(nowMillis)) {
            moves.redirect(session, "no_quorum", SessionMoves.comeBackMillis());
            return;
        }
        if (moves.sendNearer(session, nowMillis)) {
            return;
        }
        switch (moves.admission(nowMillis)) {
            case NodeAdmission.RetryLater later ->
                    moves.redirect(session, "busy", later.waitMillis());
            case NodeAdmission.Admitted admitted ->
                    gate.ask()
                            .whenComplete(
                                    (index, failure) -> {
                                        if (failure == null) {
                                            welcome(session);
                                        } else {
                                            moves.redirect(
                                                    session,
                                                    "no_confirmation",
                                                    SessionMoves.comeBackMillis());
                                        }
                                    });
        }
    }

    void announced(List<Announcement> announcements) {
        List<Announcement> news = registry.merge(announcements);
        for (Announcement announcement : news) {
            LOGGER.info(
                    "event=target_announced node={} service={} version={} phase={} sequence={}",
                    announcement.node(),
                    announcement.service(),
                    announcement.version(),
                    announcement.phase(),
                    announcement.sequence());
        }
        noteNews(news);
        spread(news);
    }

    void evidence(List<Evidence> seen) {
        evidence.accept(seen);
    }

    void holds(NodeSession session) {
        holdings.note(session.node(), session.heldVersion(), ProcessClock.wallMillis());
    }

    void feed(NodeSession session) {
        session.flush(frames());
    }

    void closed(NodeSession session) {
        sessions.remove(session);
        leases.sessionClosed(session, ProcessClock.monotonicMillis());
    }

    private void welcome(NodeSession session) {
        Optional<Long> laterIncarnation =
                registry.find(session.node())
                        .map(Announcement::incarnation)
                        .filter(known -> known > session.incarnation());
        if (!session.welcome(laterIncarnation, frames().settled())) {
            return;
        }
        if (session.heldVersion() > frames().version()) {
            LOGGER.error(
                    "event=node_ahead node={} held_version={} agreed_version={}",
                    session.node(),
                    session.heldVersion(),
                    frames().version());
        }
        holds(session);
        feed(session);
    }

    private CompletableFuture<Long> confirm() {
        return replica.confirm(ProcessClock.monotonicMillis())
                .orTimeout(CONFIRMATION_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void tellPeers(long nowMillis) {
        List<NodeHolding> told = holdings.takeUnsent();
        if (nowMillis - refreshedMillis >= REFRESH_MILLIS) {
            refreshedMillis = nowMillis;
            told = holdings.of(sessions.stream().map(NodeSession::node).toList());
        } else if (told.isEmpty()) {
            return;
        }
        peers.broadcast(Frame.holdings(batch(told)));
    }

    /**
     * Tells where this control is and how many sessions it has.
     *
     * @return a batch without holdings
     */
    public HoldingBatch ownLoad() {
        return batch(List.of());
    }

    private HoldingBatch batch(List<NodeHolding> told) {
        return new HoldingBatch(told)
                .setControl(controlName)
                .setSessions(sessions.size())
                .setNodeAddress(nodeAddress.toString())
                .setDataCentre(dataCentre);
    }

    private boolean isGone(String node) {
        return registry.find(node).map(Announcement::isGone).orElse(false);
    }

    private void noteNews(List<Announcement> news) {
        long nowMillis = ProcessClock.monotonicMillis();
        for (Announcement announcement : news) {
            if (announcement.isGone()) {
                holdings.forget(announcement.node());
            } else {
                leases.vouch(announcement.node(), nowMillis);
            }
        }
    }

    private void spread(List<Announcement> news) {
        if (!news.isEmpty()) {
            peers.broadcast(AnnouncementCodec.toFrame(news));
        }
    }

    private void push(MeshConfiguration configuration) {
        synchronized (history) {
            history.advance(configuration);
        }
        holdings.agreed(configuration.version(), ProcessClock.wallMillis());
        LOGGER.info(
                "event=configuration_pushed configuration={} sessions={}",
                configuration.version(),
                sessions.size());
        flush();
    }

    private FeedFrames frames() {
        FeedFrames present = frames;
        long revision = registry.revision();
        long version = presentVersion();
        if (!present.leadsTo(revision, version, upkeep.settled())) {
            present = FeedFrames.of(registry, history, revision, version, upkeep.settled());
            frames = present;
        }
        return present;
    }

    private long presentVersion() {
        synchronized (history) {
            return history.current().version();
        }
    }
}
