package org.cuminreach.node.caller;

import java.util.List;
import java.util.Optional;
import org.cuminreach.decisions.admission.Caller;
import org.cuminreach.document.Tenant;

/**
 * Who a call is from.
 *
 * @param caller the caller
 * @param tenant its tenant; empty when it sent no API key, or none is needed
 * @param priority rank of the call for admission, 0 being the highest
 */
record CallOrigin(Caller caller, Optional<Tenant> tenant, int priority) {
    /** Returns the regions that the call must not leave; empty when it may go anywhere. */
    List<String> homeRegions() {
        return tenant.map(Tenant::homeRegions).orElse(List.of());
    }
}
