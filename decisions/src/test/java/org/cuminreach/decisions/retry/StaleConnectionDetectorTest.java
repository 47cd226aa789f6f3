package org.cuminreach.decisions.retry;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;

class StaleConnectionDetectorTest {
    @Example
    void firstTimeoutWithoutAnswerSinceSendIsStale() {
        StaleConnectionDetector path = StaleConnectionDetector.create();
        path.recordAnswer(100);
        assertThat(path.recordTimeout(200)).isTrue();
    }

    @Example
    void answerInMillisecondOfSendBelongsToEarlierCall() {
        StaleConnectionDetector path = StaleConnectionDetector.create();
        path.recordAnswer(200);
        assertThat(path.recordTimeout(200)).isTrue();
    }

    @Example
    void slowCallIsNotStaleWhileOthersAreAnswered() {
        StaleConnectionDetector path = StaleConnectionDetector.create();
        path.recordAnswer(250);
        assertThat(path.recordTimeout(200)).isFalse();
        path.recordAnswer(300);
        assertThat(path.recordTimeout(200)).isFalse();
    }

    @Example
    void secondConsecutiveTimeoutIsStale() {
        StaleConnectionDetector path = StaleConnectionDetector.create();
        path.recordAnswer(250);
        assertThat(path.recordTimeout(200)).isFalse();
        assertThat(path.recordTimeout(210)).isTrue();
    }
}
