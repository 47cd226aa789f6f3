package org.cuminreach.node.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Locale;

/** The headers by which a call carries its state through the mesh. */
public final class MeshHeaders {
    /** Identity of the call in logs. */
    public static final String REQUEST_ID = "X-Cuminreach-Request-Id";

    /** Name of the caller. */
    public static final String CALLER = "X-Cuminreach-Caller";

    /** Time left until the caller gives up, in milliseconds. */
    public static final String REMAINING_MILLIS = "X-Cuminreach-Remaining-Millis";

    /** Attempts made so far for this call, on every node that it passed. */
    public static final String ATTEMPTS = "X-Cuminreach-Attempts";

    /** Outcome as the mesh knows it: {@code answered}, {@code not-run} or {@code may-have-run}. */
    public static final String OUTCOME = "X-Cuminreach-Outcome";

    /** Name of the node whose target a call is meant for; another node refuses it. */
    public static final String TARGET_NODE = "X-Cuminreach-Target-Node";

    /** Identity of the start of the target that a call is meant for; another start refuses it. */
    public static final String TARGET_START = "X-Cuminreach-Target-Start";

    /** Route by which a call came, with its priority and objective; between nodes only. */
    public static final String ROUTE = "X-Cuminreach-Route";

    /** Says of a refusal that the target itself refused, not the node beside it. */
    public static final String REACHED_TARGET = "X-Cuminreach-Reached-Target";

    /** Why a call was refused or lost. */
    public static final String REASON = "X-Cuminreach-Reason";

    /** When a refused call may come again, in milliseconds. */
    public static final String RETRY_AFTER_MILLIS = "X-Cuminreach-Retry-After-Millis";

    /** Name of the node that a call is sent to as the home of its idempotency key. */
    public static final String KEY_HOME = "X-Cuminreach-Key-Home";

    /** Says that an answer is that of an earlier call with the same key. */
    public static final String REPEATED = "X-Cuminreach-Repeated";

    /** Key by which a caller marks a call and its repetitions. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** Configuration version under which the call was routed. */
    public static final String CONFIGURATION = "X-Cuminreach-Configuration";

    /** Version of the target that answered. */
    public static final String TARGET_VERSION = "X-Cuminreach-Target-Version";

    /** Load of the target that answered or refused; between nodes only. */
    public static final String LOAD = "X-Cuminreach-Load";

    /** Value of {@link #REASON}: the address that a call was sent to belongs to another node. */
    public static final String OTHER_NODE = "other_node_at_this_address";

    /** Value of {@link #REASON}: the target that a call was meant for has given way to another. */
    public static final String OTHER_TARGET = "other_target_at_this_node";

    /** Value of {@link #REASON}: no target has described itself to the node. */
    public static final String NO_TARGET = "no_target_here";

    /** Value of {@link #OUTCOME}: a target answered whole. */
    public static final String ANSWERED = "answered";

    /** Value of {@link #OUTCOME}: no target can have begun the call. */
    public static final String NOT_RUN = "not-run";

    /** Value of {@link #OUTCOME}: a target may have run the call. */
    public static final String MAY_HAVE_RUN = "may-have-run";

    /** What only nodes may say in an answer. */
    private static final List<String> SET_BY_NODES =
            List.of(
                    OUTCOME,
                    REQUEST_ID,
                    CONFIGURATION,
                    TARGET_VERSION,
                    REPEATED,
                    REACHED_TARGET,
                    REASON,
                    RETRY_AFTER_MILLIS);

    private static final List<String> HOP_BY_HOP =
            List.of(
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

    private MeshHeaders() {}

    /**
     * Copies the headers of a target's answer.
     *
     * @param headers headers of the answer
     * @return a copy without those of one connection and those that only nodes may set
     */
    public static HttpHeaders fromTarget(HttpHeaders headers) {
        HttpHeaders copy = endToEnd(headers);
        SET_BY_NODES.forEach(copy::remove);
        return copy;
    }

    /**
     * Copies the headers that travel from end to end.
     *
     * @param headers headers of a request or an answer
     * @return a copy without those that belong to one connection
     */
    public static HttpHeaders endToEnd(HttpHeaders headers) {
        HttpHeaders copy = new DefaultHttpHeaders();
        List<String> named = headers.getAll(HttpHeaderNames.CONNECTION);
        headers.forEach(
                header -> {
                    String name = header.getKey().toLowerCase(Locale.ROOT);
                    boolean ofConnection =
                            HOP_BY_HOP.contains(name)
                                    || named.stream().anyMatch(name::equalsIgnoreCase);
                    if (!ofConnection) {
                        copy.add(header.getKey(), header.getValue());
                    }
                });
        return copy;
    }
}
