package org.cuminreach.node.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Example;
import org.cuminreach.settings.Address;

class ControlAddressesTest {
    private static final Address ONE = new Address("10.0.0.1", 1);
    private static final Address TWO = new Address("10.0.0.2", 1);
    private static final Address THREE = new Address("10.0.0.3", 1);

    /** A frozen control takes the connection and never answers, so that its turn costs seconds. */
    @Example
    void lostControlIsNotChosenNext() {
        for (int first = 0; first < 3; first++) {
            for (Address near : List.of(ONE, TWO, THREE)) {
                ControlAddresses contacts =
                        ControlAddresses.create(List.of(ONE, TWO, THREE), first);
                contacts.next();
                contacts.prefer(near);
                assertThat(contacts.next()).isEqualTo(near);

                assertThat(contacts.next()).isNotEqualTo(near);
            }
        }
    }

    @Example
    void controlsAreChosenRoundRobin() {
        ControlAddresses contacts = ControlAddresses.create(List.of(ONE, TWO), 0);
        contacts.advertised(List.of(THREE));
        Set<Address> dialled = new HashSet<>();
        for (int turn = 0; turn < 6; turn++) {
            dialled.add(contacts.next());
        }

        assertThat(dialled).containsExactly(ONE, TWO, THREE);
    }

    @Example
    void onlyControlIsChosenAgain() {
        ControlAddresses contacts = ControlAddresses.create(List.of(ONE), 0);

        assertThat(contacts.next()).isEqualTo(ONE);
        assertThat(contacts.next()).isEqualTo(ONE);
    }
}
