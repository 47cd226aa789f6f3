package org.cuminreach.decisions.rollout;

/**
 * A mixture sequential probability ratio test on counted events, over every start at once. Events
 * are added from the newest to the oldest; the highest ratio over all starts is kept, so that
 * earlier good evidence does not hide later badness. With the starts and tests counted into the
 * limit, the chance that a version without the badness ever crosses it in a ledger is at most the
 * stated one, whenever and however often it is looked at.
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

    /** Adds events of one span, of which the expected share is bad by itself. */
    void add(long events, long bad, double expected) {
        alternatives.addLogRatios(logRatios, events, bad, expected);
    }

    /** Ends a span: the ratio over all spans added so far is one of those that count. */
    void endSpan() {
        maxLogRatio = Math.max(maxLogRatio, mixtureLogRatio());
    }

    /** Returns the natural logarithm of the ratio over all spans added. */
    double totalLogRatio() {
        return mixtureLogRatio();
    }

    /** Returns the natural logarithm of the highest ratio over all starts. */
    double maxLogRatio() {
        return maxLogRatio;
    }

    /**
     * Tells whether the version is found bad. Half of the chance of a false alarm goes to the start
     * of the evidence, half to all later starts.
     */
    boolean detectsRegression(double falseAlarm, int starts) {
        double half = falseAlarm / 2;
        return mixtureLogRatio() >= -Math.log(half)
                || maxLogRatio >= Math.log(Math.max(1, starts) / half);
    }

    private double mixtureLogRatio() {
        double most = logRatios[0];
        for (double ratio : logRatios) {
            most = Math.max(most, ratio);
        }
        double sum = 0;
        for (double ratio : logRatios) {
            sum += Math.exp(ratio - most);
        }
        return most + Math.log(sum / logRatios.length);
    }
}
