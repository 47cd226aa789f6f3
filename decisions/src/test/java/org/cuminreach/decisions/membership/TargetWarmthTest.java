package org.cuminreach.decisions.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalLong;
import net.jqwik.api.Example;

class TargetWarmthTest {
    private static final long USUAL_MILLIS = 5_000;

    private final TargetWarmth warmth = TargetWarmth.unknown(0);

    @Example
    void isPresumedColdUntilTargetTells() {
        assertThat(warmth.coldMillis(USUAL_MILLIS, 1_000)).isEqualTo(4_000);

        warmth.record("i-1/7", OptionalLong.of(0), 1_000);

        assertThat(warmth.coldMillis(USUAL_MILLIS, 1_000)).isEqualTo(0);
    }

    @Example
    void targetThatNeverTellsIsColdForUsualTime() {
        warmth.record("i-1/7", OptionalLong.empty(), 100);
        warmth.record("i-1/7", OptionalLong.empty(), 1_600);

        assertThat(warmth.coldMillis(USUAL_MILLIS, 5_000)).isEqualTo(100);
        assertThat(warmth.coldMillis(USUAL_MILLIS, 5_100)).isEqualTo(0);
    }

    @Example
    void targetMayBecomeColdAgain() {
        warmth.record("i-1/7", OptionalLong.of(0), 0);
        warmth.record("i-1/7", OptionalLong.of(3_000), 60_000);

        assertThat(warmth.coldMillis(USUAL_MILLIS, 61_000)).isEqualTo(2_000);
    }

    @Example
    void laterStartIsPresumedCold() {
        warmth.record("i-1/7", OptionalLong.of(0), 0);
        warmth.record("i-1/8", OptionalLong.empty(), 60_000);

        assertThat(warmth.coldMillis(USUAL_MILLIS, 60_000)).isEqualTo(USUAL_MILLIS);
    }

    @Example
    void hearsayCountsUntilTargetTells() {
        warmth.recordHearsay(8_000, 0);
        assertThat(warmth.coldMillis(USUAL_MILLIS, 6_000)).isEqualTo(2_000);

        warmth.record("i-1/7", OptionalLong.of(1_000), 6_000);
        warmth.recordHearsay(8_000, 6_500);

        assertThat(warmth.coldMillis(USUAL_MILLIS, 6_500)).isEqualTo(500);
    }

    @Example
    void presumptionLastsUntilNextWordOfTarget() {
        warmth.record("i-1/7", OptionalLong.of(0), 0);
        warmth.presumeCold(60_000);
        assertThat(warmth.coldMillis(USUAL_MILLIS, 60_500)).isEqualTo(4_500);

        warmth.record("i-1/7", OptionalLong.of(0), 61_000);

        assertThat(warmth.coldMillis(USUAL_MILLIS, 61_000)).isEqualTo(0);
    }

    @Example
    void absurdTimesAreBounded() {
        warmth.record("i-1/7", OptionalLong.of(-1), 0);
        assertThat(warmth.coldMillis(USUAL_MILLIS, 0)).isEqualTo(0);

        warmth.record("i-1/7", OptionalLong.of(Long.MAX_VALUE), 10);

        assertThat(warmth.coldMillis(USUAL_MILLIS, 10)).isEqualTo(TargetWarmth.MAX_COLD_MILLIS);
    }
}
