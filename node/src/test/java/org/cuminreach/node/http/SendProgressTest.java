package org.cuminreach.node.http;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import org.cuminreach.runtime.http.BodyMemory;

class SendProgressTest {
    private final SendProgress progress = SendProgress.ofWholeCall(BodyMemory.of(0).newShare());

    @Example
    void callReportedAsNotSentIsNeverWritten() {
        assertThat(progress.end(new SendOutcome.Lost("timeout")))
                .isEqualTo(new SendOutcome.NotSent("timeout_before_sending"));

        assertThat(isWritten()).isFalse();
    }

    @Example
    void writtenCallMayHaveRun() {
        assertThat(isWritten()).isTrue();

        assertThat(progress.end(new SendOutcome.Lost("timeout")))
                .isEqualTo(new SendOutcome.Lost("timeout"));
    }

    @Example
    void callWhoseBodyWasNotAskedForHasNotRunAndSendsNoBodyLater() {
        SendProgress expecting = SendProgress.ofCallWithExpectedBody(BodyMemory.of(0).newShare());
        expecting.onRequestSend(null);

        assertThat(expecting.end(new SendOutcome.Lost("timeout")))
                .isEqualTo(new SendOutcome.BodyNotSent("timeout_before_body"));
        assertThat(isAllowed(expecting::onBodyBegin)).isFalse();
    }

    @Example
    void callWhoseBodyWasBegunMayHaveRun() {
        SendProgress expecting = SendProgress.ofCallWithExpectedBody(BodyMemory.of(0).newShare());
        expecting.onRequestSend(null);
        expecting.onBodyBegin();

        assertThat(expecting.end(new SendOutcome.Lost("timeout")))
                .isEqualTo(new SendOutcome.Lost("timeout"));
    }

    /** The client writes a call unless its handler throws. */
    private boolean isWritten() {
        return isAllowed(() -> progress.onRequestSend(null));
    }

    private static boolean isAllowed(Runnable step) {
        try {
            step.run();
            return true;
        } catch (IllegalStateException ended) {
            return false;
        }
    }
}
