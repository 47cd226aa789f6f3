package org.cuminreach.decisions.retry;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;

class PathSuspicionTest {
    @Example
    void firstTimeoutWithoutAnyAnswerMeanwhileIsEnough() {
        PathSuspicion path = PathSuspicion.none();
        path.answered(100);
        assertThat(path.timedOut(200)).isTrue();
    }

    @Example
    void answerInMillisecondOfSendIsOfEarlierCall() {
        PathSuspicion path = PathSuspicion.none();
        path.answered(200);
        assertThat(path.timedOut(200)).isTrue();
    }

    @Example
    void slowCallBesideOthersThatAreAnsweredIsNot() {
        PathSuspicion path = PathSuspicion.none();
        path.answered(250);
        assertThat(path.timedOut(200)).isFalse();
        path.answered(300);
        assertThat(path.timedOut(200)).isFalse();
    }

    @Example
    void secondConsecutiveTimeoutIs() {
        PathSuspicion path = PathSuspicion.none();
        path.answered(250);
        assertThat(path.timedOut(200)).isFalse();
        assertThat(path.timedOut(210)).isTrue();
    }
}
