package org.cuminreach.settings;

import java.util.HashMap;
import java.util.Map;

/** Reports a fault for each address that an earlier field of the same process already uses. */
public final class DistinctAddresses {
    private final CheckedObject object;
    private final Map<Address, String> fieldsByAddress = new HashMap<>();

    private DistinctAddresses(CheckedObject object) {
        this.object = object;
    }

    /**
     * Returns a check that has no addresses yet.
     *
     * @param object settings that contain the addresses, where faults are reported
     * @return the check
     */
    public static DistinctAddresses of(CheckedObject object) {
        return new DistinctAddresses(object);
    }

    /**
     * Adds an address and reports a fault when an earlier field has the same one.
     *
     * @param field name of the field
     * @param address the address
     * @return this check
     */
    public DistinctAddresses with(String field, Address address) {
        String earlierField = fieldsByAddress.putIfAbsent(address, field);
        if (earlierField != null) {
            object.addFault(field, "is " + address + ", which " + earlierField + " uses");
        }
        return this;
    }
}
