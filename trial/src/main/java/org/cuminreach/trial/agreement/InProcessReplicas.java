package org.cuminreach.trial.agreement;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cuminreach.control.replica.PeerNetwork;
import org.cuminreach.control.replica.ReplicaDriver;
import org.cuminreach.control.storage.DataFolder;
import org.cuminreach.decisions.agreement.DurableState;
import org.cuminreach.decisions.agreement.Member;
import org.cuminreach.decisions.agreement.Membership;
import org.cuminreach.decisions.configuration.MeshStateImage;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.settings.Address;
import org.cuminreach.wire.ConfigurationCodec;
import org.cuminreach.wire.MalformedFrameException;
import org.cuminreach.wire.RaftCodec;
import org.cuminreach.wire.generated.Frame;

/** Replicas in one process, with data folders on disk and an in-process network. */
final class InProcessReplicas implements AutoCloseable {
    private static final long TIMER_INTERVAL_MILLIS = 30;
    private static final int FIRST_PORT = 1_000;

    private final Map<String, ReplicaDriver> drivers = new LinkedHashMap<>();
    private final List<DataFolder> folders = new ArrayList<>();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);

    static InProcessReplicas start(Path parent, int count, long seed) throws IOException {
        InProcessReplicas replicas = new InProcessReplicas();
        List<Member> members = new ArrayList<>();
        for (int number = 1; number <= count; number++) {
            Address address = Address.parse("127.0.0.1:" + (FIRST_PORT + number)).orElseThrow();
            members.add(new Member("r" + number, address, true));
        }
        byte[] state = ConfigurationCodec.encode(MeshStateImage.empty());
        DurableState first = DurableState.initial(new Membership(members), state);
        for (Member member : members) {
            DataFolder folder = DataFolder.open(parent.resolve(count + "-" + member.id()));
            folder.saveSnapshot(first.snapshot().orElseThrow(), false);
            replicas.folders.add(folder);
            replicas.start(member.id(), folder, new Random(seed + members.indexOf(member)));
        }
        replicas.timer.scheduleWithFixedDelay(
                () ->
                        replicas.allDrivers()
                                .forEach(driver -> driver.onTimer(ProcessClock.monotonicMillis())),
                TIMER_INTERVAL_MILLIS,
                TIMER_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        return replicas;
    }

    /** Waits until one replica leads with a quorum, and returns it. */
    ReplicaDriver leader() throws InterruptedException {
        while (true) {
            for (ReplicaDriver driver : allDrivers()) {
                if (driver.isLeader() && driver.hasQuorum(ProcessClock.monotonicMillis())) {
                    return driver;
                }
            }
            TimeUnit.MILLISECONDS.sleep(TIMER_INTERVAL_MILLIS);
        }
    }

    @Override
    public void close() throws InterruptedException, IOException {
        timer.shutdownNow();
        for (ReplicaDriver driver : allDrivers()) {
            driver.close();
        }
        for (DataFolder folder : folders) {
            folder.close();
        }
    }

    private synchronized List<ReplicaDriver> allDrivers() {
        return List.copyOf(drivers.values());
    }

    private synchronized void start(String id, DataFolder folder, Random random)
            throws IOException {
        drivers.put(
                id,
                ReplicaDriver.start(
                        id,
                        folder,
                        new InProcessNetwork(id),
                        random,
                        ProcessClock.monotonicMillis(),
                        failure -> {
                            throw new IllegalStateException(failure);
                        }));
    }

    private synchronized ReplicaDriver driver(String id) {
        return drivers.get(id);
    }

    /** Passes each message directly to the driver of the receiver. */
    private final class InProcessNetwork implements PeerNetwork {
        private final String from;

        InProcessNetwork(String from) {
            this.from = from;
        }

        @Override
        public boolean send(String to, Frame frame) {
            ReplicaDriver receiver = driver(to);
            if (receiver == null) {
                return false;
            }
            try {
                receiver.receive(
                        from,
                        RaftCodec.toMessage(frame.getAgreement()),
                        ProcessClock.monotonicMillis());
                return true;
            } catch (MalformedFrameException malformed) {
                throw new IllegalStateException(malformed);
            }
        }

        @Override
        public void updateMembership(Membership membership) {
            // The set of replicas is fixed.
        }
    }
}
