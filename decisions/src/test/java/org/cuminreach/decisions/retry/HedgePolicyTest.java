package org.cuminreach.decisions.retry;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Tests hedging with running times that follow a log-normal distribution. */
class HedgePolicyTest {
    private static final double MEAN_MILLIS = 120;
    private static final double LOG_STANDARD_DEVIATION = 0.7;
    private static final long DEADLINE_MILLIS = 1_000;

    @Property(seed = "5501", tries = 50)
    void fewOrdinaryCallsAreOverdue(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        long delay = HedgePolicy.delayMillis(MEAN_MILLIS, 0, DEADLINE_MILLIS).getAsLong();
        int overdue = 0;
        for (int call = 0; call < 2_000; call++) {
            double median =
                    MEAN_MILLIS / Math.exp(LOG_STANDARD_DEVIATION * LOG_STANDARD_DEVIATION / 2);
            overdue +=
                    median * Math.exp(LOG_STANDARD_DEVIATION * random.nextGaussian()) > delay
                            ? 1
                            : 0;
        }

        assertThat(overdue).isAtMost(2_000 / 10);
    }

    @Property(seed = "5502", tries = 200)
    void secondAttemptHasTimeToEnd(
            @ForAll @IntRange(min = 1, max = 2_000) int runMillis,
            @ForAll @IntRange(min = 0, max = 1_000) int waitMillis,
            @ForAll @IntRange(min = 0, max = 5_000) int remainingMillis) {
        HedgePolicy.delayMillis(runMillis, waitMillis, remainingMillis)
                .ifPresent(
                        delay -> {
                            assertThat(delay).isAtLeast(waitMillis + runMillis);
                            assertThat(remainingMillis - delay).isAtLeast(runMillis);
                        });
    }

    @Example
    void callWithUnknownRunTimeIsNotHedged() {
        assertThat(HedgePolicy.delayMillis(0, 0, DEADLINE_MILLIS).isEmpty()).isTrue();
    }
}
