package org.cuminreach.node.control;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cuminreach.settings.Address;

/**
 * Addresses of the control processes: those of the settings, and those that a control has
 * advertised. Thread-safe.
 */
public final class ControlAddresses {
    private List<Address> configured;
    private List<Address> advertisedAddresses = List.of();
    private Optional<Address> preferred = Optional.empty();
    private Optional<Address> lastChosen = Optional.empty();
    private int next;

    private ControlAddresses(List<Address> configured) {
        this.configured = List.copyOf(configured);
    }

    /**
     * Returns the addresses of the settings, before any control has advertised others.
     *
     * @param configured the addresses of the settings, at least one
     * @param firstIndex index of the address to choose first
     * @return the addresses
     */
    public static ControlAddresses create(List<Address> configured, int firstIndex) {
        ControlAddresses controlAddresses = new ControlAddresses(configured);
        controlAddresses.next = firstIndex;
        return controlAddresses;
    }

    /**
     * Replaces the addresses of the settings.
     *
     * @param addresses the new addresses; an empty list changes nothing
     */
    public synchronized void setConfigured(List<Address> addresses) {
        if (!addresses.isEmpty()) {
            configured = List.copyOf(addresses);
        }
    }

    /**
     * Replaces the addresses that a control has advertised.
     *
     * @param addresses addresses of the controls that it knows
     */
    public synchronized void setAdvertised(List<Address> addresses) {
        advertisedAddresses = List.copyOf(addresses);
    }

    /**
     * Makes an address the next one to be chosen, once.
     *
     * @param address address of the control
     */
    public synchronized void prefer(Address address) {
        preferred = Optional.of(address);
    }

    /**
     * Tells whether an address was preferred and has not been chosen since.
     *
     * @return whether the next choice is a preferred one
     */
    public synchronized boolean hasPreferred() {
        return preferred.isPresent();
    }

    /**
     * Chooses the next control to connect to, in round-robin order. The one chosen last is skipped
     * while there are others, since it was lost or could not be reached.
     *
     * @return its address
     */
    public synchronized Address next() {
        Address chosen = preferred.orElseGet(this::nextRoundRobin);
        preferred = Optional.empty();
        lastChosen = Optional.of(chosen);
        return chosen;
    }

    private Address nextRoundRobin() {
        Set<Address> known = new LinkedHashSet<>(configured);
        known.addAll(advertisedAddresses);
        List<Address> addresses = new ArrayList<>(known);
        Address chosen = addresses.get(Math.floorMod(next++, addresses.size()));
        if (lastChosen.equals(Optional.of(chosen))) {
            chosen = addresses.get(Math.floorMod(next++, addresses.size()));
        }
        return chosen;
    }
}
