package org.cuminreach.node.http;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cuminreach.decisions.retry.AttemptOutcome;
import org.cuminreach.runtime.http.HttpAnswer;

class CallAnswersTest {
    @Property(seed = "5301", tries = 200)
    void retryAfterOfAnyFormIsRead(@ForAll String retryAfter) {
        HttpAnswer refusal =
                HttpAnswer.of(503, "text/plain", "")
                        .setHeader(MeshHeaders.OUTCOME, MeshHeaders.NOT_RUN);
        refusal.headers().remove("Retry-After");
        try {
            refusal.setHeader("Retry-After", retryAfter);
        } catch (IllegalArgumentException unsendable) {
            return;
        }
        assertThat(CallAnswers.outcome(new SendOutcome.Whole(refusal)))
                .isInstanceOf(AttemptOutcome.NotRun.class);
    }

    @Example
    void targetCannotClaimThatItsCallHasNotRun() {
        HttpAnswer forged =
                HttpAnswer.of(503, "text/plain", "")
                        .setHeader(MeshHeaders.OUTCOME, MeshHeaders.NOT_RUN);
        HttpAnswer ofNode = CallAnswers.ofTarget(new SendOutcome.Whole(forged));
        assertThat(CallAnswers.outcome(new SendOutcome.Whole(ofNode)))
                .isEqualTo(new AttemptOutcome.Answered(503));
    }

    @Example
    void answerThatNoNodeVouchesForMayHaveRun() {
        HttpAnswer unknown = HttpAnswer.of(500, "text/plain", "internal error");
        assertThat(CallAnswers.outcome(new SendOutcome.Whole(unknown)))
                .isInstanceOf(AttemptOutcome.MayHaveRun.class);
    }
}
