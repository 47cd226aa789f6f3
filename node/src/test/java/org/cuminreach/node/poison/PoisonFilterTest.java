package org.cuminreach.node.poison;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.Map;
import net.jqwik.api.Example;
import org.cuminreach.decisions.retry.AttemptOutcome;
import org.cuminreach.runtime.http.HttpCall;

class PoisonFilterTest {
    private static final AttemptOutcome LOST = new AttemptOutcome.MayHaveRun("connection_closed");
    private static final HttpCall CALL =
            new HttpCall("GET", "/poison", new DefaultHttpHeaders(), new byte[0], "127.0.0.1");

    private final PoisonFilter filter = PoisonFilter.create();

    @Example
    void lossThatTheTargetsNodeReportedFirstIsEvidenceAgainstTheVersion() {
        filter.recordTargetEnd(Map.of(RequestFingerprint.of(CALL).text(), 1_000L), "node-1", 1_000);

        assertThat(record("node-1", LOST, 1_005)).isFalse();
        assertThat(record("node-2", LOST, 1_200)).isTrue();
    }

    @Example
    void failedAnswerDoesNotClearRequestThatCrashesItsTargets() {
        record("node-1", LOST, 1_000);
        record("node-2", new AttemptOutcome.Answered(500), 2_000);
        record("node-2", LOST, 3_000);

        assertThat(filter.remainingRefusalMillis(RequestFingerprint.of(CALL), 3_000).isPresent())
                .isTrue();
    }

    @Example
    void failedAnswersToSuspectedRequestAreEvidenceAgainstTheVersion() {
        record("node-1", LOST, 1_000);

        assertThat(record("node-2", new AttemptOutcome.Answered(500), 2_000)).isFalse();
        assertThat(record("node-2", new AttemptOutcome.Answered(500), 3_000)).isFalse();
    }

    @Example
    void successfulAnswerClearsRequest() {
        record("node-1", LOST, 1_000);
        record("node-2", new AttemptOutcome.Answered(200), 2_000);
        record("node-2", LOST, 3_000);

        assertThat(filter.remainingRefusalMillis(RequestFingerprint.of(CALL), 3_000).isPresent())
                .isFalse();
    }

    private boolean record(String node, AttemptOutcome outcome, long nowMillis) {
        return filter.record(RequestFingerprint.of(CALL), "request", node, outcome, nowMillis);
    }
}
