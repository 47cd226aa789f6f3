package org.cuminreach.decisions.agreement;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/** Tests safety under random faults and progress after they end. */
class ReplicaSafetyTest {
    private static final int STEPS = 1_500;
    private static final int MIN_VOTERS = 3;
    private static final int MAX_HOSTS = 9;

    @Property(tries = 600, seed = "41", shrinking = ShrinkingMode.OFF)
    void isSafeUnderFaultsAndRecovers(@ForAll long seed) {
        FakeCluster cluster = new FakeCluster(seed, seed % 2 == 0 ? 3 : 5);
        injectFaults(cluster, false);
        requireProgress(cluster);
    }

    @Property(tries = 600, seed = "42", shrinking = ShrinkingMode.OFF)
    void isSafeDuringMembershipChanges(@ForAll long seed) {
        FakeCluster cluster = new FakeCluster(seed, seed % 2 == 0 ? 3 : 5);
        injectFaults(cluster, true);
        requireProgress(cluster);
    }

    private static void injectFaults(FakeCluster cluster, boolean changesMembers) {
        cluster.lossChance = cluster.random.nextDouble() * 0.3;
        cluster.duplicationChance = cluster.random.nextDouble() * 0.3;
        cluster.crashChance = cluster.random.nextDouble() * 0.05;
        int maxStepMillis = 4 + cluster.random.nextInt(100);
        int deliveriesPerStep = 2 + cluster.random.nextInt(12);
        int restartChance = 2 + cluster.random.nextInt(30);
        for (int step = 0; step < STEPS; step++) {
            cluster.advanceClock(cluster.random.nextInt(maxStepMillis));
            cluster.hosts.values().forEach(cluster::runTimer);
            for (int delivery = 0; delivery < deliveriesPerStep; delivery++) {
                cluster.deliverOne();
            }
            injectFault(cluster, changesMembers);
            if (cluster.random.nextInt(100) < restartChance) {
                restartAll(cluster);
            }
            if (step % 50 == 0) {
                cluster.checkLogs();
            }
        }
    }

    private static void injectFault(FakeCluster cluster, boolean changesMembers) {
        FakeCluster.Host host = pick(cluster);
        switch (cluster.random.nextInt(100)) {
            case 0 -> cluster.crash(host);
            case 1 -> cluster.partition(2);
            case 2 -> cluster.partition(1);
            case 3 -> host.clockSkewMillis += cluster.random.nextInt(2_000);
            case 4, 19, 20, 21 -> cluster.compact(host);
            case 5 -> cluster.isolate(host.id);
            case 22 -> cluster.suspend(host);
            case 23 -> cluster.resumeAll();
            case 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16 -> cluster.confirm(host);
            case 17, 18 -> {
                if (changesMembers && !host.suspended) {
                    changeMembers(cluster, host);
                }
            }
            default -> cluster.propose(host);
        }
    }

    private static void restartAll(FakeCluster cluster) {
        cluster.hosts.values().stream()
                .filter(down -> down.process.isEmpty())
                .forEach(cluster::start);
    }

    private static void changeMembers(FakeCluster cluster, FakeCluster.Host host) {
        if (host.process.isEmpty()) {
            return;
        }
        Membership membership = host.process.get().membership();
        List<String> known = new ArrayList<>(cluster.hosts.keySet());
        String id = known.get(cluster.random.nextInt(known.size()));
        boolean notMember = membership.member(id).isEmpty();
        if (cluster.random.nextBoolean() && known.size() < MAX_HOSTS) {
            cluster.startWithEmptyDisk("r" + (known.size() + 1));
        } else if (notMember) {
            cluster.changeMembership(host, membership.with(FakeCluster.member(id, false)));
        } else if (!membership.isVoter(id)) {
            cluster.changeMembership(host, membership.with(FakeCluster.member(id, true)));
        } else if (membership.voters().size() > MIN_VOTERS) {
            cluster.changeMembership(host, membership.without(id));
        }
    }

    private static void requireProgress(FakeCluster cluster) {
        cluster.heal();
        cluster.run(300);
        FakeCluster.Host leader = cluster.leader();
        int confirmedBefore = cluster.confirmations();
        cluster.confirm(leader);
        Optional<ProposalOutcome> outcome = cluster.propose(leader);
        assertThat(outcome.orElseThrow()).isInstanceOf(ProposalOutcome.Appended.class);
        long index = ((ProposalOutcome.Appended) outcome.get()).index();
        cluster.run(400);
        assertThat(cluster.safetyChecker.lastCommitted()).isAtLeast(index);
        assertThat(cluster.confirmations()).isGreaterThan(confirmedBefore);
        for (Member member : cluster.leader().process.orElseThrow().membership().members()) {
            assertWithMessage("applied by %s", member.id())
                    .that(cluster.hosts.get(member.id()).appliedIndex)
                    .isAtLeast(index);
        }
        cluster.checkLogs();
    }

    private static FakeCluster.Host pick(FakeCluster cluster) {
        List<FakeCluster.Host> hosts = List.copyOf(cluster.hosts.values());
        return hosts.get(cluster.random.nextInt(hosts.size()));
    }
}
