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

    /**
     * A leader in a network partition must not welcome a new node with a stale configuration, and
     * its nodes must move to a control with a quorum. Its connections stay open, so it gets no
     * error.
     */
    @Example
    void partitionedLeaderWelcomesNoNodeAndLosesItsNodes() throws IOException {
        try (ControlGroup controls = ControlGroup.start()) {
            int leader = controls.awaitLeader();
            int other = (leader + 1) % ControlGroup.COUNT;
            long first = controls.submit(leader, 0, Workload.document(SERVICES, 1));
            try (BlackholeRelay otherControl = BlackholeRelay.to(controls.nodeAddress(other))) {
                otherControl.dropTraffic(true);
                try (NodeFixture connectedNode =
                                new NodeFixture(
                                        "settled",
                                        List.of(
                                                controls.nodeAddress(leader),
                                                otherControl.address()),
                                        INCARNATION);
                        NodeFixture newNode =
                                new NodeFixture(
                                        "fresh", List.of(otherControl.address()), INCARNATION)) {
                    ControlGroup.await(() -> connectedNode.version() == first);
                    controls.setPartitioned(leader, true);
                    otherControl.dropTraffic(false);
                    assertNoStaleConfiguration(controls, leader, other, first);
                    ControlGroup.await(
                            () -> connectedNode.version() > first && newNode.version() > first);
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

    /** Nodes keep their configuration and targets while no control is running. */
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

    /** A node is redirected to a control of its own data centre, to save traffic between them. */
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

    /**
     * A deregistered target disappears at other nodes. It can return under its name even when its
     * clock went back, so that its incarnation is lower than the known one.
     */
    @Example
    void deregisteredTargetDisappearsAndReturnsWithEarlierClock() throws IOException {
        try (ControlGroup controls = ControlGroup.start()) {
            controls.awaitLeader();
            try (NodeFixture watcher =
                    new NodeFixture("watcher", controls.nodeAddresses(), INCARNATION)) {
                try (NodeFixture deregistering =
                        new NodeFixture("leaver", controls.nodeAddresses(), INCARNATION)) {
                    ControlGroup.await(() -> watcher.readyTargets() == 2);
                    deregistering.deregister();
                    long startNanos = System.nanoTime();
                    ControlGroup.await(() -> watcher.readyTargets() == 1);
                    assertThat((System.nanoTime() - startNanos) / 1_000_000).isLessThan(5_000L);
                }
                try (NodeFixture returned =
                        new NodeFixture("leaver", controls.nodeAddresses(), INCARNATION - 500)) {
                    ControlGroup.await(() -> watcher.readyTargets() == 2);
                    assertThat(returned.announcer.incarnation()).isEqualTo(INCARNATION + 1);
                }
            }
        }
    }

    /** A node whose control stops responding notices missing heartbeats and connects to another. */
    @Example
    void nodeLeavesUnresponsiveControl() throws IOException {
        try (ControlGroup controls = ControlGroup.start()) {
            int leader = controls.awaitLeader();
            int other = (leader + 1) % ControlGroup.COUNT;
            long first = controls.submit(leader, 0, Workload.document(SERVICES, 1));
            try (BlackholeRelay unresponsive = BlackholeRelay.to(controls.nodeAddress(other));
                    BlackholeRelay otherControl = BlackholeRelay.to(controls.nodeAddress(leader))) {
                otherControl.dropTraffic(true);
                List<Address> addresses = List.of(unresponsive.address(), otherControl.address());
                try (NodeFixture node = new NodeFixture("node", addresses, INCARNATION)) {
                    ControlGroup.await(() -> node.version() == first);
                    unresponsive.dropTraffic(true);
                    otherControl.dropTraffic(false);
                    long second = controls.submit(leader, first, Workload.document(SERVICES, 2));
                    ControlGroup.await(() -> node.version() >= second);
                }
            }
        }
    }

    /** A node that does not read delays no other node, and is later sent few, combined deltas. */
    @Example
    void slowNodeReceivesLatestConfigurationInFewDeltas()
            throws IOException, MalformedFrameException {
        try (ControlGroup controls = ControlGroup.start()) {
            int leader = controls.awaitLeader();
            List<Address> address = List.of(controls.nodeAddress(leader));
            long version = controls.submit(leader, 0, Workload.document(LARGE_SERVICES, 0));
            try (SlowNode slow = SlowNode.connect(controls.nodeAddress(leader));
                    NodeFixture fast = new NodeFixture("quick", address, INCARNATION)) {
                for (int round = 1; round <= ROUNDS; round++) {
                    version =
                            controls.submit(
                                    leader,
                                    version,
                                    Workload.documentWithAllRoutesChanged(LARGE_SERVICES, round));
                    long wanted = version;
                    ControlGroup.await(() -> fast.version() >= wanted);
                    slow.sendHeartbeat();
                }
                int frames = slow.readUntil(version);

                assertThat(frames).isLessThan(ROUNDS / 2);
            }
        }
    }
}
