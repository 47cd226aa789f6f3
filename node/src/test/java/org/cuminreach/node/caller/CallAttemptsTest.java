package org.cuminreach.node.caller;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import net.jqwik.api.Example;
import org.cuminreach.runtime.http.HttpCall;

class CallAttemptsTest {
    private final HttpCall call =
            new HttpCall("GET", "/status", new DefaultHttpHeaders(), new byte[0], "127.0.0.1");
    private final CallAttempts first = RouteStatisticsTest.attempts(call);

    /** Guards against a second attempt that is cut while its target runs it. */
    @Example
    void endOfFirstAttemptDoesNotCancelHedgedOne() {
        CallAttempts second = first.createHedge().orElseThrow();

        first.abandon();

        assertThat(first.call().abandoned().isDone()).isTrue();
        assertThat(second.call().abandoned().isDone()).isFalse();
        assertThat(second.hasCallerLeft()).isFalse();
    }

    @Example
    void callerThatLeavesEndsBothAttempts() {
        CallAttempts second = first.createHedge().orElseThrow();

        call.abandoned().complete(null);

        assertThat(first.call().abandoned().isDone()).isTrue();
        assertThat(second.call().abandoned().isDone()).isTrue();
        assertThat(second.hasCallerLeft()).isTrue();
    }
}
