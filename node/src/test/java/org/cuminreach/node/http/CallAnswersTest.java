package org.cuminreach.node.http;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cuminreach.decisions.retry.AttemptOutcome;
import org.cuminreach.runtime.http.HttpAnswer;

class CallAnswersTest {
    @Property(seed = "5301", tries = 200)
    void anyRetryAfterHeaderIsAccepted(@ForAll String retryAfter) {
        HttpAnswer refusal =
                HttpAnswer.of(503, "text/plain", "")
                        .setHeader(MeshHeaders.OUTCOME, MeshHeaders.NOT_RUN);
        refusal.headers().remove("Retry-After");
        try {
            refusal.setHeader("Retry-After", retryAfter);
        } catch (IllegalArgumentException invalidHeader) {
            return;
        }
        assertThat(CallAnswers.outcome(new SendOutcome.Completed(refusal)))
                .isInstanceOf(AttemptOutcome.NotRun.class);
    }

    @Example
    void targetCannotForgeNotRunOutcome() {
        HttpAnswer forged =
                HttpAnswer.of(503, "text/plain", "")
                        .setHeader(MeshHeaders.OUTCOME, MeshHeaders.NOT_RUN);
        HttpAnswer fromNode = CallAnswers.fromTarget(new SendOutcome.Completed(forged));
        assertThat(CallAnswers.outcome(new SendOutcome.Completed(fromNode)))
                .isEqualTo(new AttemptOutcome.Answered(503));
    }

    @Example
    void answerWithoutOutcomeHeaderMayHaveRun() {
        HttpAnswer unknown = HttpAnswer.of(500, "text/plain", "internal error");
        assertThat(CallAnswers.outcome(new SendOutcome.Completed(unknown)))
                .isInstanceOf(AttemptOutcome.MayHaveRun.class);
    }
}
