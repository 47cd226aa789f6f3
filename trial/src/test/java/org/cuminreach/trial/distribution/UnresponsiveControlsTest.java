package org.cuminreach.trial.distribution;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.cuminreach.settings.Address;

/** Nodes that have lost their control while two others do not respond either. */
class UnresponsiveControlsTest {
    private static final int SERVICES = 3;
    private static final long INCARNATION = 1_000_000;

    /** Time after which the users count a VM as in touch, so that it must hold changes in time. */
    private static final long CONTACT_MILLIS = 3_000;

    @Example
    void nodeIsNotLateWhileTwoControlsHaveNoPower() throws IOException {
        try (UnresponsiveControl one = UnresponsiveControl.withoutPower();
                UnresponsiveControl two = UnresponsiveControl.withoutPower()) {
            assertThat(millisUntilConfigured(one.address(), two.address()))
                    .isLessThan(CONTACT_MILLIS);
        }
    }

    @Example
    void nodeIsNotLateWhileTwoControlsAreSuspended() throws IOException {
        try (UnresponsiveControl one = UnresponsiveControl.suspended();
                UnresponsiveControl two = UnresponsiveControl.suspended()) {
            assertThat(millisUntilConfigured(one.address(), two.address()))
                    .isLessThan(CONTACT_MILLIS);
        }
    }

    /** Returns the time in which a node that dials two controls in vain gets its configuration. */
    private static long millisUntilConfigured(Address one, Address two) throws IOException {
        try (ControlGroup controls = ControlGroup.start()) {
            int leader = controls.awaitLeader();
            long version = controls.submit(leader, 0, Workload.document(SERVICES, 1));
            List<Address> addresses = List.of(one, two, controls.nodeAddress(leader));
            long startNanos = System.nanoTime();
            try (NodeFixture node =
                    new NodeFixture(nameThatStartsAtFirst(addresses), addresses, INCARNATION)) {
                ControlGroup.await(() -> node.version() == version);
                return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            }
        }
    }

    /** Returns a name for which the fixture's random generator makes the node dial the first. */
    private static String nameThatStartsAtFirst(List<Address> addresses) {
        return IntStream.range(0, 100)
                .mapToObj(number -> "node-" + number)
                .filter(name -> new Random(name.hashCode()).nextInt(addresses.size()) == 0)
                .findFirst()
                .orElseThrow();
    }
}
