package org.cuminreach.decisions.rollout;

/**
 * A mixture sequential probability ratio test on counted events, evaluated for every start time.
 * Events are added from the newest to the oldest, and the highest ratio over all start times is
 * kept, so that earlier good evidence does not hide a later regression. The threshold is corrected
 * for the number of start times and tests. The probability that a version without a regression ever
 * exceeds it on the stored evidence is therefore at most the configured false alarm rate, however
 * often the test is evaluated.
 */
final class SequentialTest {
    private final AlternativeHypotheses alternatives;
    private final double[] logRatios;
    private double maxLogRatio = Double.NEGATIVE_INFINITY;

    private SequentialTest(AlternativeHypotheses alternatives) {
        this.alternatives = alternatives;
        this.logRatios = new double[alternatives.count()];
    }

    /** Returns a test without events. */
    static SequentialTest of(AlternativeHypotheses alternatives) {
        return new SequentialTest(alternatives);
    }

    /** Adds events of one span, of which the expected share is bad without a regression. */
    void add(long events, long bad, double expected) {
        alternatives.addLogRatios(logRatios, events, bad, expected);
    }

    /** Ends a span. The ratio over all spans added so far counts as that of one start time. */
    void endSpan() {
        maxLogRatio = Math.max(maxLogRatio, mixtureLogRatio());
    }

    /** Returns the natural logarithm of the ratio over all added spans. */
    double totalLogRatio() {
        return mixtureLogRatio();
    }

    /** Returns the natural logarithm of the highest ratio over all start times. */
    double maxLogRatio() {
        return maxLogRatio;
    }

    /**
     * Tells whether the test finds a regression. Half of the false alarm rate is assigned to the
     * start of the evidence, half to all later start times.
     */
    boolean detectsRegression(double falseAlarm, int starts) {
        double half = falseAlarm / 2;
        return mixtureLogRatio() >= -Math.log(half)
                || maxLogRatio >= Math.log(Math.max(1, starts) / half);
    }

    private double mixtureLogRatio() {
        double max = logRatios[0];
        for (double ratio : logRatios) {
            max = Math.max(max, ratio);
        }
        double sum = 0;
        for (double ratio : logRatios) {
            sum += Math.exp(ratio - max);
        }
        return max + Math.log(sum / logRatios.length);
    }
}
