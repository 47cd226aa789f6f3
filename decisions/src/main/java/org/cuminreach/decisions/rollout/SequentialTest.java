package org.cuminreach.decisions.rollout;

/**
 * A mixture sequential probability ratio test on counted events, over every start at once. Events
 * are added from the newest to the oldest; the highest ratio over all starts is kept, so that
 * earlier good evidence does not hide later badness. With the starts and tests counted into the
 * limit, the chance that a version without the badness ever crosses it in a ledger is at most the
 * stated one, whenever and however often it is looked at.
 */
final class SequentialTest {
    private final Alternatives alternatives;
    private final double[] ratios;
    private double highest = Double.NEGATIVE_INFINITY;

    private SequentialTest(Alternatives alternatives) {
        this.alternatives = alternatives;
        this.ratios = new double[alternatives.count()];
    }

    /** Returns a test without events. */
    static SequentialTest of(Alternatives alternatives) {
        return new SequentialTest(alternatives);
    }

    /** Adds events of one span, of which the expected share is bad by itself. */
    void add(long events, long bad, double expected) {
        alternatives.addTo(ratios, events, bad, expected);
    }

    /** Ends a span: the ratio over all spans added so far is one of those that count. */
    void endSpan() {
        highest = Math.max(highest, mixture());
    }

    /** Returns the natural logarithm of the ratio over all spans added. */
    double wholeLogRatio() {
        return mixture();
    }

    /** Returns the natural logarithm of the highest ratio over all starts. */
    double highestLogRatio() {
        return highest;
    }

    /**
     * Tells whether the version is found bad. Half of the chance of a false alarm goes to the start
     * of the evidence, half to all later starts.
     */
    boolean isBad(double falseAlarm, int starts) {
        double half = falseAlarm / 2;
        return mixture() >= -Math.log(half) || highest >= Math.log(Math.max(1, starts) / half);
    }

    private double mixture() {
        double most = ratios[0];
        for (double ratio : ratios) {
            most = Math.max(most, ratio);
        }
        double sum = 0;
        for (double ratio : ratios) {
            sum += Math.exp(ratio - most);
        }
        return most + Math.log(sum / ratios.length);
    }
}
