package org.cuminreach.decisions.rollout;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import net.jqwik.api.Example;

class SequentialTestTest {
    private static final int RUNS = 2_000;
    private static final int SPANS = 40;
    private static final int EVENTS = 10;
    private static final double EXPECTED = 0.05;

    /** The false alarm rate holds although the test is evaluated after every span. */
    @Example
    void falseAlarmRateStaysBelowTheConfiguredRate() {
        double falseAlarmRate = 0.05;
        SplittableRandom random = new SplittableRandom(31);
        int alarms = 0;
        for (int run = 0; run < RUNS; run++) {
            alarms += raisesAlarm(random, EXPECTED, falseAlarmRate) ? 1 : 0;
        }
        assertThat((double) alarms / RUNS).isAtMost(falseAlarmRate);
    }

    @Example
    void regressionIsDetected() {
        SplittableRandom random = new SplittableRandom(32);
        int found = 0;
        for (int run = 0; run < RUNS; run++) {
            found += raisesAlarm(random, 0.25, 0.01) ? 1 : 0;
        }
        assertThat((double) found / RUNS).isAtLeast(0.99);
    }

    private static boolean raisesAlarm(
            SplittableRandom random, double badShare, double falseAlarmRate) {
        long[] bad = new long[SPANS];
        for (int last = 0; last < SPANS; last++) {
            for (int event = 0; event < EVENTS; event++) {
                bad[last] += random.nextDouble() < badShare ? 1 : 0;
            }
            SequentialTest test = SequentialTest.of(AlternativeHypotheses.OF_FAILURES);
            for (int span = last; span >= 0; span--) {
                test.add(EVENTS, bad[span], EXPECTED);
                test.endSpan();
            }
            if (test.detectsRegression(falseAlarmRate, SPANS)) {
                return true;
            }
        }
        return false;
    }
}
