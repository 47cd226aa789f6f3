package org.cuminreach.node.caller;

import java.util.Set;
import org.cuminreach.document.Route;
import org.cuminreach.node.http.CallAnswers;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.runtime.http.HttpCall;

/** What a route says of a call. */
final class CallRules {
    private static final Set<String> IDEMPOTENT_METHODS =
            Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE");

    private CallRules() {}

    static boolean isIdempotent(Route route, HttpCall call) {
        return switch (route.idempotence()) {
            case ALWAYS -> true;
            case NEVER -> false;
            case BY_METHOD -> IDEMPOTENT_METHODS.contains(call.method());
        };
    }

    /** The time that the caller waits, or the route's where that is shorter, in milliseconds. */
    static long timeoutMillis(Route route, HttpCall call) {
        int left = CallAnswers.number(call, MeshHeaders.REMAINING_MILLIS, route.timeoutMillis());
        return Math.min(left, route.timeoutMillis());
    }
}
