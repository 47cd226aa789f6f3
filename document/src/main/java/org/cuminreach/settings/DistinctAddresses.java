package org.cuminreach.settings;

import java.util.HashMap;
import java.util.Map;

/** Notes a fault for each address that an earlier field of the same process uses already. */
public final class DistinctAddresses {
    private final CheckedObject object;
    private final Map<Address, String> fieldsByAddress = new HashMap<>();

    private DistinctAddresses(CheckedObject object) {
        this.object = object;
    }

    /**
     * Returns a check without addresses.
     *
     * @param object the settings that hold the addresses
     * @return the check
     */
    public static DistinctAddresses of(CheckedObject object) {
        return new DistinctAddresses(object);
    }

    /**
     * Adds an address.
     *
     * @param field its field
     * @param address the address
     * @return this check
     */
    public DistinctAddresses with(String field, Address address) {
        String earlier = fieldsByAddress.putIfAbsent(address, field);
        if (earlier != null) {
            object.addFault(field, "is " + address + ", which " + earlier + " uses");
        }
        return this;
    }
}
