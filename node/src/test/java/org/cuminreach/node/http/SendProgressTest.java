package org.cuminreach.node.http;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import org.cuminreach.runtime.http.BodyMemory;

class SendProgressTest {
    private final SendProgress progress = new SendProgress(BodyMemory.of(0).newShare());

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

    /** The client writes a call unless its handler throws. */
    private boolean isWritten() {
        try {
            progress.onRequestSend(null);
            return true;
        } catch (IllegalStateException ended) {
            return false;
        }
    }
}
