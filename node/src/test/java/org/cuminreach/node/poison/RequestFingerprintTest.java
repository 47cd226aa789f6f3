package org.cuminreach.node.poison;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.Example;
import org.cuminreach.runtime.http.HttpCall;

class RequestFingerprintTest {
    private static HttpCall call(String host, String uri, String body) {
        return new HttpCall(
                "POST",
                uri,
                new DefaultHttpHeaders().add("Host", host),
                body.getBytes(StandardCharsets.UTF_8),
                "127.0.0.1");
    }

    private static String fingerprint(String host, String uri, String body) {
        return RequestFingerprint.of(call(host, uri, body)).text();
    }

    @Example
    void digestIsNotComputedAgainForEachAttemptOfCall() {
        RequestFingerprint request = RequestFingerprint.of(call("shop.example", "/orders", "one"));

        assertThat(request.text()).isSameInstanceAs(request.text());
    }

    @Example
    void requestsThatDifferInHostPathOrBodyAreNotTakenForOne() {
        String known = fingerprint("shop.example", "/orders", "one");

        assertThat(fingerprint("shop.example", "/orders", "one")).isEqualTo(known);
        assertThat(fingerprint("other.example", "/orders", "one")).isNotEqualTo(known);
        assertThat(fingerprint("shop.example", "/other", "one")).isNotEqualTo(known);
        assertThat(fingerprint("shop.example", "/orders", "two")).isNotEqualTo(known);
    }
}
