package org.cuminreach.node.caller;

import java.util.List;
import java.util.Optional;
import org.cuminreach.decisions.routing.TargetChoice;
import org.cuminreach.decisions.routing.TargetFilter;
import org.cuminreach.decisions.routing.TargetView;
import org.cuminreach.node.peer.MeshView;

/**
 * The targets that one attempt of a call may be sent to.
 *
 * @param filter decides which data centres may handle the call
 * @param view targets known to the node
 */
record PermittedTargets(TargetFilter filter, MeshView view) {
    /** Returns the ready targets of a version that may run the call. */
    List<TargetView> targets(String service, String version) {
        return filter.allowed(view.targets(service, version));
    }

    /** Returns the version to use when the document names none. */
    String establishedVersion(String service, Optional<String> rolledOut) {
        return view.establishedVersion(service, rolledOut);
    }

    /** Returns why a call has no target; a target that is not permitted is named as the reason. */
    String reason(TargetChoice.NoTarget none, String service, String version) {
        return targets(service, version).isEmpty()
                ? filter.reasonForNone(view.targets(service, version))
                : none.reason();
    }
}
