package org.cuminreach.trial.rollout;

import java.util.random.RandomGenerator;
import org.cuminreach.decisions.rollout.CallResult;

/** Simulates the calls to two versions of a service with a seeded random generator. */
final class SimulatedService {
    static final int ROUTES = 3;
    static final int OLD_TARGETS = 6;
    static final int DATA_CENTRES = 3;

    private static final double[] CUMULATIVE_ROUTE_SHARES = {0.70, 0.95, 1.0};
    private static final double[] BASE_MICROS = {4_000, 8_000, 20_000};
    private static final double[] BASE_FAILURE_RATES = {0.002, 0.005, 0.01};
    private static final double[] REGRESSION_FAILURE_RATES = {0.1, 0.3, 1.0};
    private static final double[] REGRESSION_SLOWDOWNS = {2.0, 3.0, 8.0};
    private static final double LATENCY_SIGMA = 0.4;
    private static final double MIN_LOAD_REGRESSION_SHARE = 0.4;
    private static final double OVERLOAD_SLOWDOWN = 4.0;
    private static final double OVERLOAD_REFUSAL_RATE = 0.15;
    private static final double OVERLOAD_FAILURE_RATE = 0.03;
    private static final long TIMEOUT_MICROS = 1_000_000;
    private static final int COLD_START_CALLS = 15;
    private static final double COLD_START_SLOWDOWN = 8.0;
    private static final long DATA_CENTRE_LOST_FROM_MILLIS = 25_000;
    private static final long DATA_CENTRE_LOST_TO_MILLIS = 85_000;
    private static final long LOSS_DETECTION_MILLIS = 2_000;
    private static final double PROBE_SHARE = 0.1;
    private static final long MIN_LATE_REGRESSION_MILLIS = 20_000;
    private static final long MAX_LATE_REGRESSION_MILLIS = 150_000;
    private static final long RESTART_MILLIS = 3_000;

    private static final long STALL_INTERVAL_MILLIS = 30_000;
    private static final long STALL_MILLIS = 800;
    private static final long STALL_OFFSET_MILLIS = 7_300;

    private final Scenario scenario;
    private final RandomGenerator random;
    private final int newTargets;
    private final long lateRegressionMillis;
    private final int[] newTargetCalls;
    private final long[] oldTargetDownUntil = new long[OLD_TARGETS];
    private final long[] newTargetDownUntil;

    SimulatedService(Scenario scenario, RandomGenerator random) {
        this.scenario = scenario;
        this.random = random;
        this.newTargets = 2 + scenario.seed() % 2;
        this.lateRegressionMillis =
                random.nextLong(MIN_LATE_REGRESSION_MILLIS, MAX_LATE_REGRESSION_MILLIS);
        this.newTargetCalls = new int[newTargets];
        this.newTargetDownUntil = new long[newTargets];
    }

    int newTargets() {
        return newTargets;
    }

    int nextRoute() {
        double draw = random.nextDouble();
        for (int route = 0; route < ROUTES; route++) {
            if (draw < CUMULATIVE_ROUTE_SHARES[route]) {
                return route;
            }
        }
        return ROUTES - 1;
    }

    /** Simulates a request that crashes the target which runs it. */
    SimulatedAnswer answerPoisonRequest(boolean newVersion, int target, long millis) {
        long[] downUntil = newVersion ? newTargetDownUntil : oldTargetDownUntil;
        if (millis < downUntil[target]) {
            return new SimulatedAnswer(CallResult.REFUSED, 0, false);
        }
        downUntil[target] = millis + RESTART_MILLIS;
        return new SimulatedAnswer(CallResult.LOST, 0, false);
    }

    SimulatedAnswer answer(boolean newVersion, int route, int target, double share, long millis) {
        long[] downUntil = newVersion ? newTargetDownUntil : oldTargetDownUntil;
        if (millis < downUntil[target]) {
            return new SimulatedAnswer(CallResult.REFUSED, 0, false);
        }
        boolean overloaded = scenario.traffic().isOverloaded(millis);
        if (overloaded && random.nextDouble() < OVERLOAD_REFUSAL_RATE) {
            return new SimulatedAnswer(CallResult.REFUSED, 0, false);
        }
        boolean unreachable =
                scenario.kind() == VersionKind.GOOD_DATA_CENTRE_LOST
                        && target % DATA_CENTRES == 0
                        && millis >= DATA_CENTRE_LOST_FROM_MILLIS
                        && millis < DATA_CENTRE_LOST_TO_MILLIS;
        if (unreachable) {
            return answerFromLostDataCentre(millis);
        }
        return run(newVersion, route, target, share, millis, overloaded);
    }

    private SimulatedAnswer answerFromLostDataCentre(long millis) {
        boolean detected = millis >= DATA_CENTRE_LOST_FROM_MILLIS + LOSS_DETECTION_MILLIS;
        if (detected && random.nextDouble() >= PROBE_SHARE) {
            return new SimulatedAnswer(CallResult.REFUSED, 0, false);
        }
        return new SimulatedAnswer(CallResult.TIMED_OUT, TIMEOUT_MICROS, false);
    }

    private SimulatedAnswer run(
            boolean newVersion,
            int route,
            int target,
            double share,
            long millis,
            boolean overloaded) {
        double micros = BASE_MICROS[route] * Math.exp(LATENCY_SIGMA * random.nextGaussian());
        double failureRate = BASE_FAILURE_RATES[route];
        if (overloaded) {
            micros *= OVERLOAD_SLOWDOWN;
            failureRate += OVERLOAD_FAILURE_RATE;
        }
        micros += stallMicros(newVersion ? target + OLD_TARGETS : target, millis);
        double regressionRate = 0;
        double slowness = 1;
        if (newVersion) {
            regressionRate = regressionFailureRate(route, share, millis);
            slowness = regressionSlowdown(route, millis);
            micros *= slowness * coldStartFactor(target);
            failureRate += badTargetFailureRate(target);
        }
        boolean regression = random.nextDouble() < regressionRate;
        if (regression || random.nextDouble() < failureRate) {
            return new SimulatedAnswer(CallResult.FAILED, (long) micros, regression);
        }
        boolean late = micros >= TIMEOUT_MICROS;
        CallResult result = late ? CallResult.TIMED_OUT : CallResult.ANSWERED;
        return new SimulatedAnswer(result, (long) Math.min(micros, TIMEOUT_MICROS), slowness > 1);
    }

    /** Returns how long a call waits for the end of a pause of its target, in microseconds. */
    private double stallMicros(int target, long millis) {
        long phase = (millis + target * STALL_OFFSET_MILLIS) % STALL_INTERVAL_MILLIS;
        boolean stalls = scenario.kind() == VersionKind.GOOD_STALLS && phase < STALL_MILLIS;
        return stalls ? (STALL_MILLIS - phase) * 1_000.0 : 0;
    }

    private double coldStartFactor(int target) {
        newTargetCalls[target]++;
        boolean cold =
                scenario.kind() == VersionKind.GOOD_COLD
                        && newTargetCalls[target] <= COLD_START_CALLS;
        return cold ? COLD_START_SLOWDOWN : 1;
    }

    private double badTargetFailureRate(int target) {
        return scenario.kind() == VersionKind.GOOD_ONE_BAD_TARGET && target == 0 ? 0.5 : 0;
    }

    private double regressionFailureRate(int route, double share, long millis) {
        boolean active =
                switch (scenario.kind()) {
                    case FAILS_AT_ONCE -> true;
                    case FAILS_LATER -> millis >= lateRegressionMillis;
                    case FAILS_UNDER_LOAD -> share >= MIN_LOAD_REGRESSION_SHARE;
                    case FAILS_ON_ONE_ROUTE -> route == ROUTES - 1;
                    default -> false;
                };
        return active
                ? REGRESSION_FAILURE_RATES[scenario.seed() % REGRESSION_FAILURE_RATES.length]
                : 0;
    }

    private double regressionSlowdown(int route, long millis) {
        boolean active =
                switch (scenario.kind()) {
                    case SLOW_AT_ONCE -> true;
                    case SLOW_LATER -> millis >= lateRegressionMillis;
                    case SLOW_ON_ONE_ROUTE -> route == ROUTES - 1;
                    default -> false;
                };
        return active ? REGRESSION_SLOWDOWNS[scenario.seed() % REGRESSION_SLOWDOWNS.length] : 1;
    }
}
