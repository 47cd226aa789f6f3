package org.cuminreach.trial.distribution;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.List;
import net.jqwik.api.Example;
import org.cuminreach.settings.Address;
import org.cuminreach.wire.MalformedFrameException;

class DistributionTest {
    private static final int SERVICES = 3;
    private static final int LARGE_SERVICES = 2_000;
    private static final int ROUNDS = 60;
    private static final long INCARNATION = 1_000_000;
    private static final long OBSERVED_MILLIS = 6_000;

    /** A leader that is cut off silently starts no node, and its nodes leave it. */
    @Example
    void partitionedLeaderWelcomesNoNodeAndLosesItsNodes() throws IOException {
        try (ControlGroup controls = ControlGroup.start()) {
            int leader = controls.awaitLeader();
            int other = (leader + 1) % ControlGroup.COUNT;
            long first = controls.submit(leader, 0, Workload.document(SERVICES, 1));
            try (BlackholeRelay refuge = BlackholeRelay.to(controls.nodeAddress(other))) {
                refuge.dropTraffic(true);
                try (NodeFixture settled =
                                new NodeFixture(
                                        "settled",
                                        List.of(controls.nodeAddress(leader), refuge.address()),
                                        INCARNATION);
                        NodeFixture fresh =
                                new NodeFixture("fresh", List.of(refuge.address()), INCARNATION)) {
                    ControlGroup.await(() -> settled.version() == first);
                    controls.setPartitioned(leader, true);
                    refuge.dropTraffic(false);
                    assertNoStaleConfiguration(controls, leader, other, first);
                    ControlGroup.await(() -> settled.version() > first && fresh.version() > first);
                }
            }
        }
    }

    private static void assertNoStaleConfiguration(
            ControlGroup controls, int leader, int other, long first) {
        List<Address> leaderOnly = List.of(controls.nodeAddress(leader));
        try (NodeFixture stale = new NodeFixture("stale", leaderOnly, INCARNATION)) {
            long second = controls.submit(other, first, Workload.document(SERVICES, 2));
            ControlGroup.pause(OBSERVED_MILLIS);
            assertThat(stale.version()).isEqualTo(0);
            assertThat(stale.session.isWelcomed()).isFalse();
            controls.setPartitioned(leader, false);
            ControlGroup.await(() -> stale.version() >= second);
        }
    }

    /** Without any control, nodes keep configuration and targets. */
    @Example
    void nodesKeepConfigurationAndTargetsWithoutControls() throws IOException {
        try (ControlGroup controls = ControlGroup.start()) {
            int leader = controls.awaitLeader();
            long version = controls.submit(leader, 0, Workload.document(SERVICES, 1));
            try (NodeFixture one = new NodeFixture("one", controls.nodeAddresses(), INCARNATION);
                    NodeFixture two =
                            new NodeFixture("two", controls.nodeAddresses(), INCARNATION)) {
                ControlGroup.await(() -> one.version() == version && one.readyTargets() == 2);
                ControlGroup.await(() -> two.version() == version && two.readyTargets() == 2);
                for (int control = 0; control < ControlGroup.COUNT; control++) {
                    controls.stop(control);
                }
                ControlGroup.await(() -> !one.session.isWelcomed() && !two.session.isWelcomed());
                ControlGroup.pause(OBSERVED_MILLIS);

                assertThat(one.version()).isEqualTo(version);
                assertThat(one.readyTargets()).isEqualTo(2);
                assertThat(two.readyTargets()).isEqualTo(2);
            }
        }
    }

    /** Documents cross no link between data centres that they need not cross. */
    @Example
    void nodeIsRedirectedToLocalControlAndLeavesItWhenItStops() throws IOException {
        try (ControlGroup controls = ControlGroup.start(List.of("lade", "nidaros", "heimdal"));
                NodeFixture node =
                        new NodeFixture("node", List.of(controls.nodeAddress(0)), INCARNATION)) {
            int leader = controls.awaitLeader();
            long version = controls.submit(leader, 0, Workload.document(SERVICES, 1));
            ControlGroup.await(
                    () -> controls.sessionCount(1) == 1 && controls.sessionCount(0) == 0);
            ControlGroup.await(() -> node.version() == version);

            controls.stop(1);

            ControlGroup.await(() -> controls.sessionCount(0) + controls.sessionCount(2) == 1);
            long next = controls.submit(0, version, Workload.document(SERVICES, 2));
            ControlGroup.await(() -> node.version() >= next);
        }
    }

    /** A leaving target disappears at other nodes; a name whose clock went back returns. */
    @Example
    void deregisteredTargetDisappearsAndReturnsWithEarlierClock() throws IOException {
        try (ControlGroup controls = ControlGroup.start()) {
            controls.awaitLeader();
            try (NodeFixture watcher =
                    new NodeFixture("watcher", controls.nodeAddresses(), INCARNATION)) {
                try (NodeFixture leaver =
                        new NodeFixture("leaver", controls.nodeAddresses(), INCARNATION)) {
                    ControlGroup.await(() -> watcher.readyTargets() == 2);
                    leaver.deregister();
                    long begun = System.nanoTime();
                    ControlGroup.await(() -> watcher.readyTargets() == 1);
                    assertThat((System.nanoTime() - begun) / 1_000_000).isLessThan(5_000L);
                }
                try (NodeFixture back =
                        new NodeFixture("leaver", controls.nodeAddresses(), INCARNATION - 500)) {
                    ControlGroup.await(() -> watcher.readyTargets() == 2);
                    assertThat(back.announcer.incarnation()).isEqualTo(INCARNATION + 1);
                }
            }
        }
    }

    /** A node whose control vanishes silently finds out by missing heartbeats and moves. */
    @Example
    void nodeLeavesUnresponsiveControl() throws IOException {
        try (ControlGroup controls = ControlGroup.start()) {
            int leader = controls.awaitLeader();
            int other = (leader + 1) % ControlGroup.COUNT;
            long first = controls.submit(leader, 0, Workload.document(SERVICES, 1));
            try (BlackholeRelay silent = BlackholeRelay.to(controls.nodeAddress(other));
                    BlackholeRelay refuge = BlackholeRelay.to(controls.nodeAddress(leader))) {
                refuge.dropTraffic(true);
                List<Address> addresses = List.of(silent.address(), refuge.address());
                try (NodeFixture node = new NodeFixture("node", addresses, INCARNATION)) {
                    ControlGroup.await(() -> node.version() == first);
                    silent.dropTraffic(true);
                    refuge.dropTraffic(false);
                    long second = controls.submit(leader, first, Workload.document(SERVICES, 2));
                    ControlGroup.await(() -> node.version() >= second);
                }
            }
        }
    }

    /** A node that does not read costs the others nothing, and later gets one difference. */
    @Example
    void slowNodeReceivesLatestConfigurationInFewDeltas()
            throws IOException, MalformedFrameException {
        try (ControlGroup controls = ControlGroup.start()) {
            int leader = controls.awaitLeader();
            List<Address> address = List.of(controls.nodeAddress(leader));
            long version = controls.submit(leader, 0, Workload.document(LARGE_SERVICES, 0));
            try (SlowNode slow = SlowNode.connect(controls.nodeAddress(leader));
                    NodeFixture quick = new NodeFixture("quick", address, INCARNATION)) {
                for (int round = 1; round <= ROUNDS; round++) {
                    version =
                            controls.submit(
                                    leader,
                                    version,
                                    Workload.documentWithAllRoutesChanged(LARGE_SERVICES, round));
                    long wanted = version;
                    ControlGroup.await(() -> quick.version() >= wanted);
                    slow.sendHeartbeat();
                }
                int frames = slow.readUntil(version);

                assertThat(frames).isLessThan(ROUNDS / 2);
            }
        }
    }
}
