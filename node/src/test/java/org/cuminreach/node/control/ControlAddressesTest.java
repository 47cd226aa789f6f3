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

    /**
     * A suspended control accepts connections but never answers, so that trying it costs seconds.
     */
    @Example
    void lostControlIsNotChosenNext() {
        for (int first = 0; first < 3; first++) {
            for (Address preferred : List.of(ONE, TWO, THREE)) {
                ControlAddresses addresses =
                        ControlAddresses.create(List.of(ONE, TWO, THREE), first);
                addresses.next();
                addresses.prefer(preferred);
                assertThat(addresses.next()).isEqualTo(preferred);

                assertThat(addresses.next()).isNotEqualTo(preferred);
            }
        }
    }

    @Example
    void controlsAreChosenRoundRobin() {
        ControlAddresses addresses = ControlAddresses.create(List.of(ONE, TWO), 0);
        addresses.setAdvertised(List.of(THREE));
        Set<Address> chosen = new HashSet<>();
        for (int turn = 0; turn < 6; turn++) {
            chosen.add(addresses.next());
        }

        assertThat(chosen).containsExactly(ONE, TWO, THREE);
    }

    @Example
    void onlyControlIsChosenAgain() {
        ControlAddresses addresses = ControlAddresses.create(List.of(ONE), 0);

        assertThat(addresses.next()).isEqualTo(ONE);
        assertThat(addresses.next()).isEqualTo(ONE);
    }
}
