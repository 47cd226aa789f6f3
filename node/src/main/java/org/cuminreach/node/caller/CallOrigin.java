package org.cuminreach.node.caller;

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
record CallOrigin(Caller caller, Optional<Tenant> tenant, int priority) {}
