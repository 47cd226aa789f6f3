package org.cuminreach.control.node;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.cuminreach.control.replica.PeerLinks;
import org.cuminreach.control.replica.ReplicaDriver;
import org.cuminreach.decisions.configuration.ConfigurationHistory;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.decisions.distribution.AdmissionBucket;
import org.cuminreach.decisions.distribution.NodeAdmission;
import org.cuminreach.decisions.membership.Announcement;
import org.cuminreach.decisions.membership.TargetRegistry;
import org.cuminreach.decisions.rollout.Evidence;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.settings.Address;
import org.cuminreach.wire.MembershipCodec;
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
    private static final long SHORTEST_RETURN_MILLIS = 50;
    private static final long LONGEST_RETURN_MILLIS = 400;
    private static final long LONGEST_ADMISSION_WAIT_MILLIS = 4_000;
    private static final double ADMISSIONS_PER_SECOND = 500;
    private static final int ADMISSION_BURST = 100;

    private final String controlName;
    private final Address nodeAddress;
    private final ReplicaDriver replica;
    private final PeerLinks peers;
    private final Consumer<List<Evidence>> evidence;
    private final TargetRegistry registry = TargetRegistry.empty();
    private final TargetLeases leases = new TargetLeases(registry);
    private final HoldingTable holdings = HoldingTable.empty();
    private final PeerLoads loads = new PeerLoads();
    private final RedirectCounts redirects = new RedirectCounts();
    private final Set<NodeSession> sessions = ConcurrentHashMap.newKeySet();
    private final AdmissionBucket admissions =
            AdmissionBucket.full(
                    ADMISSIONS_PER_SECOND,
                    ADMISSION_BURST,
                    LONGEST_ADMISSION_WAIT_MILLIS,
                    ProcessClock.monotonicMillis());
    private final SessionUpkeep upkeep;
    private final ConfirmationGate gate;
    private final ConfigurationHistory history;
    private volatile FeedFrames frames;
    private long refreshedMillis;

    private MeshSessions(
            String controlName,
            Address nodeAddress,
            ReplicaDriver replica,
            PeerLinks peers,
            Consumer<List<Evidence>> evidence) {
        this.controlName = controlName;
        this.nodeAddress = nodeAddress;
        this.replica = replica;
        this.peers = peers;
        this.evidence = evidence;
        this.upkeep = new SessionUpkeep(this, replica, sessions, loads);
        this.gate = ConfirmationGate.of(this::confirm);
        this.history = ConfigurationHistory.of(replica.configuration());
        this.frames = FeedFrames.of(registry, history, 0, history.current().version(), false);
    }

    /**
     * Returns the sessions of a control, none yet.
     *
     * @param controlName name of the control
     * @param nodeAddress where nodes reach this control
     * @param replica the agreed configuration
     * @param peers the other controls
     * @param evidence receives what nodes saw
     * @return the sessions
     */
    public static MeshSessions create(
            String controlName,
            Address nodeAddress,
            ReplicaDriver replica,
            PeerLinks peers,
            Consumer<List<Evidence>> evidence) {
        MeshSessions created = new MeshSessions(controlName, nodeAddress, replica, peers, evidence);
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
            loads.heard(batch.getControl(), batch.getSessions(), nodeAddress, nowMillis);
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
        return redirects.byReason();
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
            redirect(session, "no_quorum", comeBackMillis());
            return;
        }
        switch (admission(nowMillis)) {
            case NodeAdmission.ComeBack later -> redirect(session, "busy", later.waitMillis());
            case NodeAdmission.Admitted admitted ->
                    gate.ask()
                            .whenComplete(
                                    (index, failure) -> {
                                        if (failure == null) {
                                            welcome(session);
                                        } else {
                                            redirect(session, "no_confirmation", comeBackMillis());
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

    private synchronized NodeAdmission admission(long nowMillis) {
        return admissions.ask(nowMillis);
    }

    private CompletableFuture<Long> confirm() {
        return replica.confirm(ProcessClock.monotonicMillis())
                .orTimeout(CONFIRMATION_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    void redirect(NodeSession session, String reason, long waitMillis) {
        if (session.redirect(reason, waitMillis, ProcessClock.monotonicMillis())) {
            redirects.count(reason);
        }
    }

    private void tellPeers(long nowMillis) {
        List<NodeHolding> told = holdings.takeUnsent();
        if (nowMillis - refreshedMillis >= REFRESH_MILLIS) {
            refreshedMillis = nowMillis;
            told = holdings.of(sessions.stream().map(NodeSession::node).toList());
        } else if (told.isEmpty()) {
            return;
        }
        HoldingBatch batch = new HoldingBatch(told);
        batch.setControl(controlName);
        batch.setSessions(sessions.size());
        batch.setNodeAddress(nodeAddress.toString());
        peers.broadcast(Frame.holdings(batch));
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
            peers.broadcast(MembershipCodec.toFrame(news));
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

    static long comeBackMillis() {
        return ThreadLocalRandom.current().nextLong(SHORTEST_RETURN_MILLIS, LONGEST_RETURN_MILLIS);
    }
}
