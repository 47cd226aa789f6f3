package org.cuminreach.node.caller;

import java.util.HashSet;
import java.util.Set;
import org.cuminreach.document.Route;
import org.cuminreach.runtime.http.HttpCall;

/** One call on its way, from the first attempt to its final answer. */
final class CallAttempts {
    private final HttpCall call;
    private final Route route;
    private final String service;
    private final String requestId;
    private final String caller;
    private final boolean idempotent;
    private final long deadlineMillis;
    private final long configurationVersion;
    private final Set<String> tried = new HashSet<>();
    private int attempts;
    private int refusals;
    private boolean mayHaveRun;

    CallAttempts(
            HttpCall call,
            Route route,
            String service,
            String requestId,
            String caller,
            boolean idempotent,
            long deadlineMillis,
            long configurationVersion,
            int attemptsBefore) {
        this.call = call;
        this.route = route;
        this.service = service;
        this.requestId = requestId;
        this.caller = caller;
        this.idempotent = idempotent;
        this.deadlineMillis = deadlineMillis;
        this.configurationVersion = configurationVersion;
        this.attempts = attemptsBefore;
    }

    HttpCall call() {
        return call;
    }

    Route route() {
        return route;
    }

    /** Name of the service that was drawn for the call; every attempt goes there. */
    String service() {
        return service;
    }

    String requestId() {
        return requestId;
    }

    String caller() {
        return caller;
    }

    boolean idempotent() {
        return idempotent;
    }

    long configurationVersion() {
        return configurationVersion;
    }

    Set<String> tried() {
        return tried;
    }

    int attempts() {
        return attempts;
    }

    int refusals() {
        return refusals;
    }

    /** Notes that the latest attempt reached no target, so that it counts as no attempt. */
    void noteRefusal() {
        attempts--;
        refusals++;
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }

    long remainingMillis(long nowMillis) {
        return deadlineMillis - nowMillis;
    }

    void begin(String node) {
        attempts++;
        tried.add(node);
    }

    void noteMayHaveRun() {
        mayHaveRun = true;
    }
}
