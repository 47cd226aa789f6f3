package org.cuminreach.decisions.routing;

import java.util.Optional;

/**
 * Share of its slots that a cold target can use: the calls that it withstands a second, times the
 * running time of a call. Not thread-safe.
 */
final class ColdShare {
    /** Weight of the latest call in the mean running time. */
    private static final double SMOOTHING = 0.2;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Share of a target whose running times are not known yet. */
    private static final double INITIAL_SHARE = 0.1;

    private static final double MIN_SHARE = 0.01;

    private long coldUntilMillis = Long.MIN_VALUE;
    private double callsPerSecond;
    private double meanRunMillis;

    void record(Optional<ColdNotice> notice, long nowMillis) {
        coldUntilMillis = notice.map(cold -> nowMillis + cold.coldMillis()).orElse(nowMillis);
        callsPerSecond = notice.map(ColdNotice::callsPerSecond).orElse(0.0);
    }

    /** Records the running time of a call, or 0 when it did not run. */
    void recordRun(int runMillis) {
        if (runMillis > 0) {
            meanRunMillis =
                    meanRunMillis == 0
                            ? runMillis
                            : meanRunMillis + SMOOTHING * (runMillis - meanRunMillis);
        }
    }

    Optional<ColdNotice> notice(long nowMillis) {
        return nowMillis < coldUntilMillis
                ? Optional.of(new ColdNotice(coldUntilMillis - nowMillis, callsPerSecond))
                : Optional.empty();
    }

    /**
     * Returns the share.
     *
     * @param slots slots of the target
     * @param maxCalls calls for which it counts already, as it may have reported that it can
     *     sustain fewer than its slots
     * @param nowMillis current time
     * @return above 0, at most 1; 1 when the target is warm
     */
    double share(int slots, int maxCalls, long nowMillis) {
        if (nowMillis >= coldUntilMillis) {
            return 1;
        }
        double sustained =
                meanRunMillis == 0
                        ? INITIAL_SHARE * slots
                        : callsPerSecond * meanRunMillis / MILLIS_PER_SECOND;
        return Math.clamp(sustained / maxCalls, MIN_SHARE, 1);
    }
}
