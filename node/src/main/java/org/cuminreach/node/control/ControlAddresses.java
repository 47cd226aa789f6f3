package org.cuminreach.node.control;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cuminreach.settings.Address;

/**
 * Where the controls are reached: the addresses of the settings, and those that a control has told.
 * Safe for use by several threads.
 */
public final class ControlAddresses {
    private List<Address> configured;
    private List<Address> advertised = List.of();
    private Optional<Address> preferred = Optional.empty();
    private Optional<Address> last = Optional.empty();
    private int next;

    private ControlAddresses(List<Address> configured) {
        this.configured = List.copyOf(configured);
    }

    /**
     * Returns contacts.
     *
     * @param configured the addresses of the settings, one at least
     * @param first number of the one that is dialled first
     * @return the contacts
     */
    public static ControlAddresses create(List<Address> configured, int first) {
        ControlAddresses contacts = new ControlAddresses(configured);
        contacts.next = first;
        return contacts;
    }

    /**
     * Takes other settings.
     *
     * @param addresses the addresses that they name; none leaves the contacts as they are
     */
    public synchronized void setConfigured(List<Address> addresses) {
        if (!addresses.isEmpty()) {
            configured = List.copyOf(addresses);
        }
    }

    /**
     * Takes what a control says of the others.
     *
     * @param addresses addresses of the controls that it knows
     */
    public synchronized void advertised(List<Address> addresses) {
        advertised = List.copyOf(addresses);
    }

    /**
     * Has a control dialled next, once.
     *
     * @param address where it is reached
     */
    public synchronized void prefer(Address address) {
        preferred = Optional.of(address);
    }

    /**
     * Chooses the control to dial next; each gets its turn, but never the one dialled last while
     * there are others: it was lost, or could not be reached.
     *
     * @return its address
     */
    public synchronized Address next() {
        Address chosen = preferred.orElseGet(this::nextRoundRobin);
        preferred = Optional.empty();
        last = Optional.of(chosen);
        return chosen;
    }

    private Address nextRoundRobin() {
        Set<Address> known = new LinkedHashSet<>(configured);
        known.addAll(advertised);
        List<Address> addresses = new ArrayList<>(known);
        Address chosen = addresses.get(Math.floorMod(next++, addresses.size()));
        if (last.equals(Optional.of(chosen))) {
            chosen = addresses.get(Math.floorMod(next++, addresses.size()));
        }
        return chosen;
    }
}
