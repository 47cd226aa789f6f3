package org.cuminreach.trial.soak;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * A call of a soak.
 *
 * @param id identity of the call
 * @param node node that it was sent through
 * @param repeatable true when it may run more than once
 * @param sentMillis time at which its caller sent it
 */
record SoakCall(String id, String node, boolean repeatable, long sentMillis) {
    /** Length of the body of a call that may run once. */
    private static final int BODY_BYTES = 8_000;

    private static final String ID = "x-soak-call";
    private static final String NODE = "x-soak-node";
    private static final String SENT = "x-soak-sent";

    String method() {
        return repeatable ? "GET" : "POST";
    }

    byte[] body() {
        return new byte[repeatable ? 0 : BODY_BYTES];
    }

    HttpHeaders headers() {
        return new DefaultHttpHeaders().set(ID, id).set(NODE, node).set(SENT, sentMillis);
    }

    /** Reads the call from the head of its request. */
    static SoakCall parse(String head) {
        Map<String, String> headers =
                head.lines()
                        .filter(line -> line.toLowerCase(Locale.ROOT).startsWith("x-soak-"))
                        .map(line -> line.split(":", 2))
                        .collect(
                                Collectors.toMap(
                                        parts -> parts[0].toLowerCase(Locale.ROOT),
                                        parts -> parts[1].strip()));
        return new SoakCall(
                headers.get(ID),
                headers.get(NODE),
                head.startsWith("GET"),
                Long.parseLong(headers.get(SENT)));
    }
}
