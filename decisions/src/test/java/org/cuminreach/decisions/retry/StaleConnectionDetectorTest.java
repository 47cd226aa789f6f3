package org.cuminreach.decisions.retry;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;

class StaleConnectionDetectorTest {
    @Example
    void firstTimeoutWithoutAnswerSinceSendIsStale() {
        StaleConnectionDetector detector = StaleConnectionDetector.create();
        detector.recordAnswer(100);
        assertThat(detector.recordTimeout(200)).isTrue();
    }

    @Example
    void answerInMillisecondOfSendBelongsToEarlierCall() {
        StaleConnectionDetector detector = StaleConnectionDetector.create();
        detector.recordAnswer(200);
        assertThat(detector.recordTimeout(200)).isTrue();
    }

    @Example
    void slowCallIsNotStaleWhileOthersAreAnswered() {
        StaleConnectionDetector detector = StaleConnectionDetector.create();
        detector.recordAnswer(250);
        assertThat(detector.recordTimeout(200)).isFalse();
        detector.recordAnswer(300);
        assertThat(detector.recordTimeout(200)).isFalse();
    }

    @Example
    void secondConsecutiveTimeoutIsStale() {
        StaleConnectionDetector detector = StaleConnectionDetector.create();
        detector.recordAnswer(250);
        assertThat(detector.recordTimeout(200)).isFalse();
        assertThat(detector.recordTimeout(210)).isTrue();
    }
}
