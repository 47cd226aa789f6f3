package org.cuminreach.node.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.List;
import java.util.stream.Stream;

/** HTTP headers that carry the state of a call through the mesh. */
public final class MeshHeaders {
    /** Request ID of the call, for correlation in logs. */
    public static final String REQUEST_ID = "X-Cuminreach-Request-Id";

    /** Name of the caller. */
    public static final String CALLER = "X-Cuminreach-Caller";

    /**
     * Name of the tenant whose API key the caller sent; set by nodes only, and absent when the call
     * has no tenant.
     */
    public static final String TENANT = "X-Cuminreach-Tenant";

    /**
     * Time for which the API key of a call counts as proven, in milliseconds; between nodes only,
     * and absent when nothing bounds it.
     */
    public static final String KEY_VALID_MILLIS = "X-Cuminreach-Key-Valid-Millis";

    /** Time left until the caller's deadline, in milliseconds. */
    public static final String REMAINING_MILLIS = "X-Cuminreach-Remaining-Millis";

    /** Number of attempts made so far for this call, on all nodes it has passed. */
    public static final String ATTEMPTS = "X-Cuminreach-Attempts";

    /**
     * Number of nodes that have refused the call before it reached their targets; between nodes
     * only, absent when there was none.
     */
    public static final String REFUSALS = "X-Cuminreach-Refusals";

    /** Outcome known to the mesh: {@code answered}, {@code not-run} or {@code may-have-run}. */
    public static final String OUTCOME = "X-Cuminreach-Outcome";

    /** Name of the node whose target the call is for; any other node refuses it. */
    public static final String TARGET_NODE = "X-Cuminreach-Target-Node";

    /** Process start of the target that the call is for; after a restart the call is refused. */
    public static final String TARGET_START = "X-Cuminreach-Target-Start";

    /** Route of the call, with its priority and objective; between nodes only. */
    public static final String ROUTE = "X-Cuminreach-Route";

    /** Set when the target itself refused the call, not the node next to it. */
    public static final String REACHED_TARGET = "X-Cuminreach-Reached-Target";

    /**
     * Calls per second that a target accepts from all callers together, a decimal number; set by
     * the target. Between nodes it is the limit in force in an answer, and the one that the sender
     * last heard of in a call, so that a node learns it again after its restart.
     */
    public static final String TARGET_LIMIT = "X-Cuminreach-Target-Limit";

    /**
     * Cold time of a target: the milliseconds alone when the target sets it; between nodes with the
     * calls per second that it withstands meanwhile, as known to the sender of a call or an answer.
     */
    public static final String TARGET_COLD = "X-Cuminreach-Target-Cold";

    /** Set to {@code true} by a target that is about to stop. */
    public static final String TARGET_LEAVING = "X-Cuminreach-Target-Leaving";

    /**
     * Load that a target states: its running and waiting calls, its slots and, if it knows, the
     * time that work takes on its VM now in percent of the usual one, separated by commas.
     */
    public static final String TARGET_LOAD = "X-Cuminreach-Target-Load";

    /** Reason code of a refused or lost call. */
    public static final String REASON = "X-Cuminreach-Reason";

    /** Time after which a refused call may be retried, in milliseconds. */
    public static final String RETRY_AFTER_MILLIS = "X-Cuminreach-Retry-After-Millis";

    /** Name of the home node of the idempotency key, to which the call is forwarded. */
    public static final String KEY_HOME = "X-Cuminreach-Key-Home";

    /** Set when the answer is that of an earlier call with the same idempotency key. */
    public static final String REPEATED = "X-Cuminreach-Repeated";

    /** Idempotency key, shared by a call and its repetitions. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** Configuration version under which the call was routed. */
    public static final String CONFIGURATION = "X-Cuminreach-Configuration";

    /** Version of the target that answered. */
    public static final String TARGET_VERSION = "X-Cuminreach-Target-Version";

    /** Load of the target that answered or refused; between nodes only. */
    public static final String LOAD = "X-Cuminreach-Load";

    /**
     * Time from the arrival of a complete call at the node beside its target to its answer, in
     * milliseconds; between nodes only. The sender takes the rest for the time between the nodes.
     */
    public static final String HELD_MILLIS = "X-Cuminreach-Held-Millis";

    /** Value of {@link #REASON}: the address that a call was sent to belongs to another node. */
    public static final String OTHER_NODE = "other_node_at_this_address";

    /** Value of {@link #REASON}: the target that a call was sent to has been replaced. */
    public static final String OTHER_TARGET = "other_target_at_this_node";

    /** Value of {@link #REASON}: no target has registered with the node. */
    public static final String NO_TARGET = "no_target_here";

    /** Value of {@link #OUTCOME}: a target answered completely. */
    public static final String ANSWERED = "answered";

    /** Value of {@link #OUTCOME}: no target can have started the call. */
    public static final String NOT_RUN = "not-run";

    /** Value of {@link #OUTCOME}: a target may have run the call. */
    public static final String MAY_HAVE_RUN = "may-have-run";

    /** Answer headers that only nodes may set; removed from answers of targets. */
    private static final List<AsciiString> SET_BY_NODES =
            names(
                    OUTCOME,
                    REQUEST_ID,
                    CONFIGURATION,
                    TARGET_VERSION,
                    REPEATED,
                    REACHED_TARGET,
                    TARGET_LIMIT,
                    TARGET_LEAVING,
                    TARGET_COLD,
                    TARGET_LOAD,
                    REASON,
                    RETRY_AFTER_MILLIS);

    private static final List<AsciiString> HOP_BY_HOP =
            names(
                    "connection",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "content-length",
                    "expect");

    /** Request headers that the node beside a target reads and does not pass on. */
    private static final List<AsciiString> FOR_TARGET_NODE =
            names(TARGET_NODE, TARGET_START, TARGET_LIMIT, TARGET_COLD, KEY_VALID_MILLIS, REFUSALS);

    private MeshHeaders() {}

    /**
     * Copies the headers of a call for its target.
     *
     * @param headers headers of the call
     * @return a copy without hop-by-hop headers and those for the node beside the target
     */
    public static HttpHeaders forTarget(HttpHeaders headers) {
        HttpHeaders copy = endToEnd(headers);
        return removeAll(copy, FOR_TARGET_NODE);
    }

    /**
     * Copies the headers of a target's answer without those reserved for nodes.
     *
     * @param headers headers of the answer
     * @return a copy without hop-by-hop headers and those that only nodes may set
     */
    public static HttpHeaders fromTarget(HttpHeaders headers) {
        HttpHeaders copy = endToEnd(headers);
        return removeAll(copy, SET_BY_NODES);
    }

    /**
     * Copies the end-to-end headers.
     *
     * @param headers headers of a request or an answer
     * @return a copy without hop-by-hop headers
     */
    public static HttpHeaders endToEnd(HttpHeaders headers) {
        HttpHeaders copy = headers.copy();
        if (headers.contains(HttpHeaderNames.CONNECTION)) {
            headers.getAll(HttpHeaderNames.CONNECTION).forEach(copy::remove);
        }
        return removeAll(copy, HOP_BY_HOP);
    }

    private static HttpHeaders removeAll(HttpHeaders headers, List<AsciiString> names) {
        for (int index = 0; index < names.size(); index++) {
            headers.remove(names.get(index));
        }
        return headers;
    }

    /** Returns names whose hash codes are computed once. */
    private static List<AsciiString> names(String... names) {
        return Stream.of(names).map(AsciiString::cached).toList();
    }
}
