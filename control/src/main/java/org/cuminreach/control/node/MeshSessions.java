package org.cuminreach.control.node;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cuminreach.control.replica.PeerLinks;
import org.cuminreach.control.replica.ReplicaDriver;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.decisions.membership.Announcement;
import org.cuminreach.decisions.membership.TargetRegistry;
import org.cuminreach.decisions.rollout.Evidence;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.wire.ConfigurationCodec;
import org.cuminreach.wire.MembershipCodec;
import org.cuminreach.wire.StructCodec;
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
    private static final long LEASE_MILLIS = 4_000;
    private static final long SHORTEST_RETURN_MILLIS = 200;
    private static final long LONGEST_RETURN_MILLIS = 1_500;

    /** A closed session whose lease still runs. */
    private record Lapsing(String node, long incarnation, long sequence, long endsMillis) {}

    private final String controlName;
    private final ReplicaDriver replica;
    private final PeerLinks peers;
    private final Consumer<List<Evidence>> evidence;
    private final TargetRegistry registry = TargetRegistry.empty();
    private final HoldingTable holdings = HoldingTable.empty();
    private final Set<NodeSession> sessions = ConcurrentHashMap.newKeySet();
    private final Map<String, Lapsing> lapsing = new ConcurrentHashMap<>();

    private MeshSessions(
            String controlName,
            ReplicaDriver replica,
            PeerLinks peers,
            Consumer<List<Evidence>> evidence) {
        this.controlName = controlName;
        this.replica = replica;
        this.peers = peers;
        this.evidence = evidence;
    }

    /**
     * Returns the sessions of a control, none yet.
     *
     * @param controlName name of the control
     * @param replica the agreed configuration
     * @param peers the other controls
     * @param evidence receives what nodes saw
     * @return the sessions
     */
    public static MeshSessions create(
            String controlName,
            ReplicaDriver replica,
            PeerLinks peers,
            Consumer<List<Evidence>> evidence) {
        MeshSessions created = new MeshSessions(controlName, replica, peers, evidence);
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
     * Lets time pass: sends nodes away when this control is cut off, ends leases, and tells other
     * controls what the nodes hold.
     *
     * @param nowMillis present time
     */
    public void tick(long nowMillis) {
        if (!sessions.isEmpty() && !replica.hasQuorum(nowMillis)) {
            sessions.stream()
                    .filter(NodeSession::welcomed)
                    .forEach(session -> session.redirect("no_quorum", comeBackMillis()));
        }
        endLeases(nowMillis);
        List<NodeHolding> changed = holdings.takeUnsent();
        if (!changed.isEmpty()) {
            peers.broadcast(Frame.holdings(new HoldingBatch(changed)));
        }
    }

    /**
     * Merges announcements that another control passed on.
     *
     * @param announcements the announcements
     */
    public void mergeFromPeer(Collection<Announcement> announcements) {
        tellNodes(registry.merge(announcements));
    }

    /**
     * Merges what nodes of another control hold.
     *
     * @param others their holdings
     */
    public void mergeHoldings(Collection<NodeHolding> others) {
        holdings.merge(others);
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
     * Returns how many nodes chose this control.
     *
     * @return open sessions
     */
    public int sessionCount() {
        return sessions.size();
    }

    String controlName() {
        return controlName;
    }

    void greeted(NodeSession session) {
        sessions.add(session);
        long nowMillis = ProcessClock.monotonicMillis();
        if (!replica.hasQuorum(nowMillis)) {
            session.redirect("no_quorum", comeBackMillis());
            return;
        }
        replica.confirm(nowMillis)
                .orTimeout(CONFIRMATION_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .whenComplete(
                        (index, failure) -> {
                            if (failure == null) {
                                session.welcome(encoded(replica.configuration()), registry.all());
                            } else {
                                session.redirect("no_confirmation", comeBackMillis());
                            }
                        });
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
        spread(news);
    }

    void evidence(List<Evidence> seen) {
        evidence.accept(seen);
    }

    void holds(NodeSession session, long version) {
        holdings.note(new NodeHolding(session.node(), version, ProcessClock.wallMillis()));
    }

    void closed(NodeSession session) {
        sessions.remove(session);
        long ends = ProcessClock.monotonicMillis() + LEASE_MILLIS;
        lapsing.put(
                session.node(),
                new Lapsing(
                        session.node(), session.incarnation(), session.announcedSequence(), ends));
    }

    private void endLeases(long nowMillis) {
        for (Lapsing lease : lapsing.values()) {
            if (lease.endsMillis() > nowMillis) {
                continue;
            }
            lapsing.remove(lease.node(), lease);
            boolean renewed =
                    registry.all().stream()
                            .filter(known -> known.node().equals(lease.node()))
                            .anyMatch(known -> known.sequence() != lease.sequence());
            if (renewed) {
                continue;
            }
            registry.expire(lease.node(), lease.incarnation())
                    .ifPresent(
                            gone -> {
                                LOGGER.info("event=lease_expired node={}", gone.node());
                                holdings.forget(gone.node());
                                spread(List.of(gone));
                            });
        }
    }

    private void spread(List<Announcement> news) {
        if (!news.isEmpty()) {
            peers.broadcast(MembershipCodec.toFrame(news));
            tellNodes(news);
        }
    }

    private void tellNodes(List<Announcement> news) {
        if (!news.isEmpty()) {
            sendToAll(StructCodec.encode(MembershipCodec.toFrame(news)));
        }
    }

    private void push(MeshConfiguration configuration) {
        LOGGER.info(
                "event=configuration_pushed configuration={} sessions={}",
                configuration.version(),
                sessions.size());
        sendToAll(encoded(configuration));
    }

    private void sendToAll(byte[] encoded) {
        for (NodeSession session : new ArrayList<>(sessions)) {
            if (session.welcomed()) {
                session.send(encoded);
            }
        }
    }

    private static byte[] encoded(MeshConfiguration configuration) {
        return StructCodec.encode(Frame.configuration(ConfigurationCodec.toStruct(configuration)));
    }

    private static long comeBackMillis() {
        return ThreadLocalRandom.current().nextLong(SHORTEST_RETURN_MILLIS, LONGEST_RETURN_MILLIS);
    }
}
