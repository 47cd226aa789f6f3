package org.cuminreach.node.caller;

import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cuminreach.document.CallerLimits;
import org.cuminreach.document.Route;
import org.cuminreach.node.http.CallAnswers;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.runtime.http.HttpCall;

/** Applies route settings and caller limits to a call. */
final class CallRules {
    private static final Set<String> IDEMPOTENT_METHODS =
            Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE");

    private static final int CONTENT_TOO_LARGE = 413;
    private static final int HEADER_FIELDS_TOO_LARGE = 431;
    private static final int HEADER_SEPARATOR_BYTES = 4;

    private CallRules() {}

    static boolean isIdempotent(Route route, HttpCall call) {
        return switch (route.idempotence()) {
            case ALWAYS -> true;
            case NEVER -> false;
            case BY_METHOD -> IDEMPOTENT_METHODS.contains(call.method());
        };
    }

    /** Refuses a call that exceeds the size limits of the document. The call has not been sent. */
    static Optional<HttpAnswer> refuseOversized(CallerLimits limits, HttpCall call) {
        if (headerBytes(call) > limits.maxHeaderBytes()) {
            return Optional.of(
                    CallAnswers.notRun(
                            HEADER_FIELDS_TOO_LARGE, "headers_too_long", Optional.empty()));
        }
        return call.body().length > limits.maxBodyBytes()
                ? Optional.of(
                        CallAnswers.notRun(CONTENT_TOO_LARGE, "body_too_long", Optional.empty()))
                : Optional.empty();
    }

    /** Returns the size of the header block: each header adds a colon, a space and CRLF. */
    private static long headerBytes(HttpCall call) {
        long bytes = 0;
        Iterator<Map.Entry<CharSequence, CharSequence>> headers =
                call.headers().iteratorCharSequence();
        while (headers.hasNext()) {
            Map.Entry<CharSequence, CharSequence> header = headers.next();
            bytes += header.getKey().length() + header.getValue().length() + HEADER_SEPARATOR_BYTES;
        }
        return bytes;
    }

    /** Returns the smaller of the caller's remaining time and the route's timeout. */
    static long timeoutMillis(Route route, HttpCall call) {
        int remaining =
                CallAnswers.intHeader(call, MeshHeaders.REMAINING_MILLIS, route.timeoutMillis());
        return Math.min(remaining, route.timeoutMillis());
    }
}
