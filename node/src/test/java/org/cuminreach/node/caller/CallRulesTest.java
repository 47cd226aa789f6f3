package org.cuminreach.node.caller;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.Optional;
import net.jqwik.api.Example;
import org.cuminreach.document.CallerLimits;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.runtime.http.HttpCall;

class CallRulesTest {
    private static final CallerLimits LIMITS = new CallerLimits(40, 100, 1_000, 1_000);

    private static Optional<HttpAnswer> refusal(String header, int bodyBytes) {
        DefaultHttpHeaders headers = new DefaultHttpHeaders();
        headers.set("Name", header);
        return CallRules.refuseOversized(
                LIMITS, new HttpCall("POST", "/", headers, new byte[bodyBytes], "127.0.0.1"));
    }

    @Example
    void callsWithinTheLimitsPass() {
        assertThat(refusal("x".repeat(32), 100)).isEqualTo(Optional.empty());
    }

    @Example
    void oversizedBodiesAndHeadersAreRefused() {
        assertThat(refusal("x", 101).orElseThrow().status()).isEqualTo(413);
        assertThat(refusal("x".repeat(33), 0).orElseThrow().status()).isEqualTo(431);
    }
}
