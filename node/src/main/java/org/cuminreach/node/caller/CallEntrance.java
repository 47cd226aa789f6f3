package org.cuminreach.node.caller;

import java.util.Optional;
import org.cuminreach.decisions.admission.Caller;
import org.cuminreach.decisions.tenant.KeyCheck;
import org.cuminreach.document.Route;
import org.cuminreach.document.Tenant;
import org.cuminreach.node.http.CallAnswers;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.tenant.TenantAuthenticator;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.runtime.http.HttpCall;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Checks calls before they are routed: whether a route takes them, who they are from, their size.
 */
final class CallEntrance {
    private static final Logger LOGGER = LoggerFactory.getLogger(CallEntrance.class);
    private static final long NO_CONFIGURATION_RETRY_MILLIS = 1_000;

    /** Time in which a node that is connected to a control gets its next proof, in milliseconds. */
    static final long UNPROVEN_RETRY_MILLIS = 400;

    /** Outcome of the checks. */
    sealed interface Outcome {
        /**
         * The call may be routed.
         *
         * @param route its route
         * @param origin who it is from
         */
        record Accepted(Route route, CallOrigin origin) implements Outcome {}

        /**
         * The call is refused. It has not run.
         *
         * @param answer the answer
         */
        record Refused(HttpAnswer answer) implements Outcome {}
    }

    private final String ownHost;
    private final TenantAuthenticator authenticator;

    CallEntrance(String ownHost, TenantAuthenticator authenticator) {
        this.ownHost = ownHost;
        this.authenticator = authenticator;
    }

    /** Checks a call of a caller. Its API key is removed from its headers. */
    Outcome check(HttpCall call, String requestId, RouteTableCache.Entry current) {
        if (current.configuration().version() == 0) {
            LOGGER.info("event=call_refused request={} reason=no_configuration", requestId);
            return refused(503, "no_configuration", Optional.of(NO_CONFIGURATION_RETRY_MILLIS));
        }
        Optional<Route> route = current.table().match(call.header("Host", ""), call.path());
        if (route.isEmpty()) {
            LOGGER.info(
                    "event=call_refused request={} configuration={} reason=no_route host={}"
                            + " path={}",
                    requestId,
                    current.configuration().version(),
                    call.header("Host", ""),
                    call.path());
            return refused(404, "no_route", Optional.empty());
        }
        boolean isPublic = route.get().access().isPublic();
        return switch (authenticator.authenticate(call.headers(), isPublic, current.keys())) {
            case KeyCheck.UnknownKey unknown ->
                    refuseKey(requestId, current, route.get(), 401, "unknown_key");
            case KeyCheck.Unproven unproven ->
                    refuseKey(requestId, current, route.get(), 503, "no_lease");
            case KeyCheck.Passed passed ->
                    checkSize(call, requestId, current, route.get(), passed.tenant());
        };
    }

    /**
     * Returns the origin of a call that another node has checked.
     *
     * @return the origin, or empty when this node's configuration lacks its tenant
     */
    static Optional<CallOrigin> originFromNode(
            HttpCall call, Route route, RouteTableCache.Entry current) {
        Caller caller = Caller.parse(call.header(MeshHeaders.CALLER, ""));
        String name = call.header(MeshHeaders.TENANT, "");
        Optional<Tenant> tenant = current.keys().tenant(name);
        return name.isEmpty() || tenant.isPresent()
                ? Optional.of(
                        new CallOrigin(caller, tenant, current.priorities().rank(route, tenant)))
                : Optional.empty();
    }

    private Outcome checkSize(
            HttpCall call,
            String requestId,
            RouteTableCache.Entry current,
            Route route,
            Optional<Tenant> tenant) {
        Optional<HttpAnswer> tooLong =
                CallRules.refuseOversized(current.configuration().document().limits(), call);
        if (tooLong.isPresent()) {
            LOGGER.info("event=call_refused request={} reason=too_long", requestId);
            return new Outcome.Refused(tooLong.get());
        }
        Caller caller =
                Caller.identify(call.header(MeshHeaders.CALLER, ""), call.remoteHost(), ownHost);
        return new Outcome.Accepted(
                route, new CallOrigin(caller, tenant, current.priorities().rank(route, tenant)));
    }

    private static Outcome refuseKey(
            String requestId,
            RouteTableCache.Entry current,
            Route route,
            int status,
            String reason) {
        LOGGER.info(
                "event=call_refused request={} configuration={} route={} reason={}",
                requestId,
                current.configuration().version(),
                route.name(),
                reason);
        return refused(
                status,
                reason,
                status == 503 ? Optional.of(UNPROVEN_RETRY_MILLIS) : Optional.empty());
    }

    private static Outcome refused(int status, String reason, Optional<Long> retryAfterMillis) {
        return new Outcome.Refused(CallAnswers.notRun(status, reason, retryAfterMillis));
    }
}
