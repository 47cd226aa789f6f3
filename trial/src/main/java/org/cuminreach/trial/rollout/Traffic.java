package org.cuminreach.trial.rollout;

/** The rate of calls to a service, with a period of overload in one case. */
enum Traffic {
    LOW(0.25),
    NORMAL(40),
    OVERLOAD(100);

    private static final long OVERLOADED_FROM_MILLIS = 15_000;
    private static final long OVERLOADED_TO_MILLIS = 75_000;

    private final double callsPerSecond;

    Traffic(double callsPerSecond) {
        this.callsPerSecond = callsPerSecond;
    }

    double callsPerMilli() {
        return callsPerSecond / 1_000;
    }

    boolean isOverloaded(long millis) {
        return this == OVERLOAD
                && millis >= OVERLOADED_FROM_MILLIS
                && millis < OVERLOADED_TO_MILLIS;
    }
}
