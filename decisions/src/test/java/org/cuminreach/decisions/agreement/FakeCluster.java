package org.cuminreach.decisions.agreement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.cuminreach.settings.Address;

/**
 * Replicas with fake disks on a fake network that loses, doubles, delays and reorders messages.
 * Every effect may be the last one that a replica carries out before it crashes.
 */
final class FakeCluster {
    private static final RaftSettings SETTINGS = new RaftSettings(50, 300, 64);
    private static final int MAX_IN_FLIGHT = 400;

    private record InFlight(String from, String to, Message message) {}

    private record PendingConfirmation(String replica, long committedBefore) {}

    /** A replica with its disk; the process is absent while it is down. */
    static final class Host {
        final String id;
        final FakeDisk disk;
        Optional<Replica> process = Optional.empty();
        long appliedIndex;
        long clockSkewMillis;
        boolean frozen;

        Host(String id, FakeDisk disk) {
            this.id = id;
            this.disk = disk;
        }
    }

    final Map<String, Host> hosts = new LinkedHashMap<>();
    final SafetyChecker safetyChecker = new SafetyChecker();
    final Random random;
    double lossChance;
    double duplicationChance;
    double crashChance;
    private final List<InFlight> network = new ArrayList<>();
    private final TreeMap<Long, PendingConfirmation> pendingConfirmations = new TreeMap<>();
    private final Map<String, Integer> partitionById = new LinkedHashMap<>();
    private long nowMillis = 1_000;
    private long lastConfirmation;
    private long lastCommand;
    private int confirmed;

    FakeCluster(long seed, int voters) {
        random = new Random(seed);
        List<Member> members = new ArrayList<>();
        for (int number = 1; number <= voters; number++) {
            members.add(member("r" + number, true));
        }
        Membership first = new Membership(members);
        members.forEach(
                member -> hosts.put(member.id(), new Host(member.id(), FakeDisk.initial(first))));
        hosts.values().forEach(this::start);
    }

    static Member member(String id, boolean voter) {
        int port = 1_000 + Integer.parseInt(id.substring(1));
        return new Member(id, Address.parse("10.0.0.1:" + port).orElseThrow(), voter);
    }

    void start(Host host) {
        DurableState durable = host.disk.load();
        host.appliedIndex = host.disk.snapshotIndex();
        host.process =
                Optional.of(
                        Replica.start(
                                host.id,
                                SETTINGS,
                                new Random(random.nextLong()),
                                durable,
                                now(host)));
    }

    void crash(Host host) {
        host.process = Optional.empty();
        host.frozen = false;
        pendingConfirmations.values().removeIf(question -> question.replica().equals(host.id));
    }

    /** A control with an empty disk and an identity that was never used before. */
    Host startWithEmptyDisk(String id) {
        Host host = new Host(id, new FakeDisk());
        hosts.put(id, host);
        start(host);
        return host;
    }

    /** Loses a replica and its disk for good. */
    void destroy(String id) {
        crash(hosts.get(id));
        hosts.remove(id);
    }

    void partition(int sides) {
        partitionById.clear();
        hosts.keySet().forEach(id -> partitionById.put(id, random.nextInt(sides)));
    }

    void isolate(String id) {
        partitionById.clear();
        hosts.keySet().forEach(other -> partitionById.put(other, other.equals(id) ? 1 : 0));
    }

    void heal() {
        partitionById.clear();
        lossChance = 0;
        duplicationChance = 0;
        crashChance = 0;
        thawAll();
        hosts.values().stream().filter(host -> host.process.isEmpty()).forEach(this::start);
    }

    void advanceClock(long millis) {
        nowMillis += millis;
    }

    /** A frozen process keeps its memory and its connections; time passes without it. */
    void freeze(Host host) {
        host.frozen = true;
    }

    /** The first that a process sees after it was frozen is a question, not the clock. */
    void thawAll() {
        for (Host host : hosts.values()) {
            if (host.frozen) {
                host.frozen = false;
                confirm(host);
            }
        }
    }

    void runTimer(Host host) {
        if (host.frozen) {
            return;
        }
        host.process.ifPresent(replica -> execute(host, replica.onTimer(now(host))));
    }

    /** Delivers a random message, if there is any. */
    void deliverOne() {
        if (network.isEmpty()) {
            return;
        }
        int at = random.nextInt(network.size());
        InFlight next =
                random.nextDouble() < duplicationChance ? network.get(at) : network.remove(at);
        Host receiver = hosts.get(next.to());
        boolean cut =
                !partitionById
                        .getOrDefault(next.from(), 0)
                        .equals(partitionById.getOrDefault(next.to(), 0));
        if (receiver != null && receiver.frozen) {
            network.add(next);
            return;
        }
        if (receiver == null || cut || random.nextDouble() < lossChance) {
            return;
        }
        receiver.process.ifPresent(
                replica ->
                        execute(
                                receiver,
                                replica.receive(now(receiver), next.from(), next.message())));
    }

    Optional<ProposalOutcome> propose(Host host) {
        lastCommand++;
        byte[] command = {(byte) lastCommand, (byte) (lastCommand >> 8)};
        return runningReplica(host)
                .map(replica -> executeIfAppended(host, replica.propose(now(host), command)));
    }

    Optional<ProposalOutcome> changeMembership(Host host, Membership next) {
        return runningReplica(host)
                .map(replica -> executeIfAppended(host, replica.changeMembership(now(host), next)));
    }

    void confirm(Host host) {
        runningReplica(host)
                .ifPresent(
                        replica -> {
                            lastConfirmation++;
                            pendingConfirmations.put(
                                    lastConfirmation,
                                    new PendingConfirmation(
                                            host.id, safetyChecker.lastCommitted()));
                            int before = confirmed;
                            execute(host, replica.confirm(now(host), lastConfirmation));
                            SafetyChecker.require(
                                    confirmed == before,
                                    host.id + " is confirmed without asking anyone");
                        });
    }

    void compact(Host host) {
        runningReplica(host)
                .ifPresent(
                        replica -> execute(host, replica.compact(host.appliedIndex, new byte[0])));
    }

    /** Lets a healthy cluster run for a while. */
    void run(int steps) {
        for (int step = 0; step < steps; step++) {
            advanceClock(random.nextInt(10));
            hosts.values().forEach(this::runTimer);
            for (int delivery = 0; delivery < 3 * hosts.size(); delivery++) {
                deliverOne();
            }
        }
    }

    /** Lets a healthy cluster run until one replica leads and can commit. */
    Host leader() {
        for (int attempt = 0; attempt < 200; attempt++) {
            for (Host host : List.copyOf(hosts.values())) {
                boolean leads =
                        host.process.map(replica -> replica.isLeader()).orElse(false)
                                && host.process.get().hasQuorum(now(host))
                                && host.process.get().commitIndex()
                                        == host.process.get().lastIndex();
                if (leads) {
                    return host;
                }
            }
            run(10);
        }
        throw new AssertionError("no leader comes up");
    }

    int confirmations() {
        return confirmed;
    }

    void checkLogs() {
        safetyChecker.checkLogMatching(hosts.values().stream().map(host -> host.disk).toList());
    }

    private static Optional<Replica> runningReplica(Host host) {
        return host.process.filter(replica -> !host.frozen);
    }

    private long now(Host host) {
        return nowMillis + host.clockSkewMillis;
    }

    private ProposalOutcome executeIfAppended(Host host, ProposalOutcome outcome) {
        if (outcome instanceof ProposalOutcome.Appended appended) {
            execute(host, appended.effects());
        }
        return outcome;
    }

    private void execute(Host host, List<Effect> effects) {
        for (Effect effect : effects) {
            if (random.nextDouble() < crashChance) {
                crash(host);
                return;
            }
            execute(host, effect);
        }
    }

    private void execute(Host host, Effect effect) {
        switch (effect) {
            case Effect.SaveVote save -> host.disk.save(save);
            case Effect.SaveEntries save -> host.disk.save(save);
            case Effect.SaveSnapshot save -> host.disk.save(save);
            case Effect.Send send -> {
                network.add(new InFlight(host.id, send.to(), send.message()));
                if (network.size() > MAX_IN_FLIGHT) {
                    network.remove(random.nextInt(network.size()));
                }
            }
            case Effect.Apply apply -> {
                safetyChecker.recordApplied(host.id, host.appliedIndex, apply.entry());
                host.appliedIndex = apply.entry().index();
            }
            case Effect.Restore restore -> {
                safetyChecker.recordRestored(host.id, restore.snapshot());
                host.appliedIndex = restore.snapshot().lastIndex();
            }
            case Effect.Confirmed answer -> recordConfirmation(host, answer);
            case Effect.LeaderChanged changed -> {
                if (changed.leader().equals(Optional.of(host.id))) {
                    safetyChecker.recordLeader(host.id, changed.term(), host.disk);
                }
            }
        }
    }

    private void recordConfirmation(Host host, Effect.Confirmed answer) {
        PendingConfirmation question = pendingConfirmations.remove(answer.confirmation());
        if (question == null || !question.replica().equals(host.id)) {
            return;
        }
        confirmed++;
        SafetyChecker.require(
                answer.index() >= question.committedBefore(),
                host.id
                        + " was confirmed at "
                        + answer.index()
                        + " though "
                        + question.committedBefore()
                        + " was committed before it asked");
    }
}
