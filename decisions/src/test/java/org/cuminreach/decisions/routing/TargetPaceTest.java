package org.cuminreach.decisions.routing;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

class TargetPaceTest {
    private static final LoadBalancingPolicy POLICY = LoadBalancingPolicy.forCostlyLinks();

    private final TargetPace pace = TargetPace.starting(POLICY, 0);

    @Example
    void goodAnswersEndTheDoubt() {
        assertThat(pace.share(0)).isEqualTo(POLICY.initialShare());
        for (int answer = 0; answer < 4; answer++) {
            pace.recordAnswer(1, 0);
        }

        assertThat(pace.share(0)).isEqualTo(1);
    }

    @Example
    void slowAnswersKeepTheShareAtWhatTheTargetDoes() {
        for (int answer = 0; answer < 20; answer++) {
            pace.recordAnswer(5, answer * 100);
        }

        assertThat(pace.share(2_000)).isAtMost(0.35);
    }

    @Example
    void lossTakesTheShareBackAtOnce() {
        pace.recordAnswer(1, 0);
        double before = pace.share(0);
        pace.recordSetback(0);

        assertThat(pace.share(0)).isAtMost(before / 2);
    }

    @Example
    void doubtFadesWithoutAnswers() {
        assertThat(pace.share(2_000)).isGreaterThan(pace.share(1_000));
        assertThat(pace.share(POLICY.doubtMillis())).isEqualTo(1);
    }

    @Example
    void recoveredTargetBeginsAnew() {
        TargetPace established = TargetPace.established(POLICY);
        established.recordSetback(0);
        assertThat(established.share(0)).isEqualTo(1);

        established.restart(10);

        assertThat(established.share(10)).isEqualTo(POLICY.initialShare());
    }

    @Property(seed = "41", tries = 200)
    void shareIsAlwaysUsable(
            @ForAll @DoubleRange(min = 0, max = 1_000) double slowness,
            @ForAll @IntRange(min = 0, max = 30) int answers,
            @ForAll @IntRange(min = 0, max = 30) int setbacks,
            @ForAll @IntRange(min = 0, max = 20_000) int elapsedMillis) {
        TargetPace any = TargetPace.starting(POLICY, 0);
        for (int answer = 0; answer < answers; answer++) {
            any.recordAnswer(slowness, answer);
        }
        for (int setback = 0; setback < setbacks; setback++) {
            any.recordSetback(answers + setback);
        }

        assertThat(any.share(answers + setbacks + elapsedMillis)).isGreaterThan(0);
        assertThat(any.share(answers + setbacks + elapsedMillis)).isAtMost(1);
    }
}
