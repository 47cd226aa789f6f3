package org.cuminreach.control.replica;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cuminreach.control.storage.DataFolder;
import org.cuminreach.control.storage.FakeFolder;
import org.cuminreach.decisions.agreement.DurableState;
import org.cuminreach.decisions.agreement.Member;
import org.cuminreach.decisions.agreement.Membership;
import org.cuminreach.decisions.configuration.MeshStateImage;
import org.cuminreach.settings.Address;
import org.cuminreach.wire.ConfigurationCodec;
import org.cuminreach.wire.MalformedFrameException;
import org.cuminreach.wire.RaftCodec;
import org.cuminreach.wire.generated.Frame;

/**
 * Replica drivers in one process, with in-memory disks and a network that delays, loses and
 * duplicates messages.
 */
final class FakeControls implements AutoCloseable {
    private static final int ENTRIES_BETWEEN_SNAPSHOTS = 20;
    private static final long TIMER_INTERVAL_MILLIS = 20;
    private static final int MAX_DELAY_MILLIS = 3;
    private static final double LOSS_PROBABILITY = 0.02;
    private static final double DUPLICATION_PROBABILITY = 0.02;

    private final Random random;
    private final Map<String, FakeFolder> folders = new LinkedHashMap<>();
    private final Map<String, ReplicaDriver> drivers = new LinkedHashMap<>();
    private final ScheduledExecutorService network = Executors.newScheduledThreadPool(1);
    private volatile String isolated = "";

    FakeControls(long seed, int voters) throws IOException {
        random = new Random(seed);
        List<Member> members = new ArrayList<>();
        for (int number = 1; number <= voters; number++) {
            Address address = Address.parse("10.0.0.1:" + (1_000 + number)).orElseThrow();
            members.add(new Member("r" + number, address, true));
        }
        byte[] state = ConfigurationCodec.encode(MeshStateImage.empty());
        DurableState initial = DurableState.initial(new Membership(members), state);
        for (Member member : members) {
            FakeFolder folder = new FakeFolder(random.nextLong());
            folders.put(member.id(), folder);
            DataFolder.open(folder).saveSnapshot(initial.snapshot().orElseThrow(), false);
            start(member.id());
        }
        network.scheduleWithFixedDelay(
                this::runTimers,
                TIMER_INTERVAL_MILLIS,
                TIMER_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    synchronized List<ReplicaDriver> drivers() {
        return List.copyOf(drivers.values());
    }

    /** Returns a replica that considers itself the leader, or sometimes a random one. */
    ReplicaDriver leaderOrAny(Random choice) {
        List<ReplicaDriver> all = drivers();
        return all.stream()
                .filter(driver -> driver.isLeader() && choice.nextInt(8) > 0)
                .findFirst()
                .orElse(all.get(choice.nextInt(all.size())));
    }

    /** Crashes a replica during one of its next disk operations, if any, and restarts it. */
    void crashAndRestart(String id) throws IOException, InterruptedException {
        FakeFolder folder = folders.get(id);
        folder.crashAfter(random.nextInt(6));
        TimeUnit.MILLISECONDS.sleep(40);
        drivers.get(id).close();
        folder.restart();
        start(id);
    }

    /** Makes the disk of a replica full, or gives it some room again. */
    void setDiskFull(String id, boolean full, long usableBytesOtherwise) {
        folders.get(id).failWrites(full);
        folders.get(id).setUsableBytes(full ? 0 : usableBytesOtherwise);
    }

    List<String> identities() {
        return List.copyOf(folders.keySet());
    }

    void isolate(String id) {
        isolated = id;
    }

    @Override
    public void close() throws InterruptedException {
        network.shutdownNow();
        for (ReplicaDriver driver : drivers()) {
            driver.close();
        }
    }

    private synchronized void start(String id) throws IOException {
        drivers.put(
                id,
                ReplicaDriver.start(
                        id,
                        DataFolder.open(folders.get(id)),
                        new Network(id),
                        new Random(random.nextLong()),
                        nowMillis(),
                        failure -> {},
                        ENTRIES_BETWEEN_SNAPSHOTS));
    }

    private void runTimers() {
        drivers().forEach(driver -> driver.onTimer(nowMillis()));
    }

    private synchronized Optional<ReplicaDriver> driver(String id) {
        return Optional.ofNullable(drivers.get(id));
    }

    /** Delivers messages after a random delay, so that they may be reordered. */
    private final class Network implements PeerNetwork {
        private final String from;
        private final Random chance = new Random(random.nextLong());

        Network(String from) {
            this.from = from;
        }

        @Override
        public boolean send(String to, Frame frame) {
            int copies = chance.nextDouble() < DUPLICATION_PROBABILITY ? 2 : 1;
            for (int copy = 0; copy < copies && !network.isShutdown(); copy++) {
                if (chance.nextDouble() >= LOSS_PROBABILITY) {
                    network.schedule(
                            () -> deliver(to, frame),
                            chance.nextInt(MAX_DELAY_MILLIS),
                            TimeUnit.MILLISECONDS);
                }
            }
            return true;
        }

        @Override
        public void updateMembership(Membership membership) {}

        private void deliver(String to, Frame frame) {
            if (isolated.equals(from) || isolated.equals(to)) {
                return;
            }
            try {
                var message = RaftCodec.toMessage(frame.getAgreement());
                driver(to).ifPresent(driver -> driver.receive(from, message, nowMillis()));
            } catch (MalformedFrameException malformed) {
                throw new IllegalStateException(malformed);
            }
        }
    }
}
