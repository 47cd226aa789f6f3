package org.cuminreach.trial.rollout;

import java.util.random.RandomGenerator;
import org.cuminreach.decisions.rollout.CallResult;

/** Answers calls for each version, route, target and load, by a seeded generator. */
final class FakeService {
    static final int ROUTES = 3;
    static final int OLD_TARGETS = 6;
    static final int DATA_CENTRES = 3;

    private static final double[] ROUTE_PARTS = {0.70, 0.95, 1.0};
    private static final double[] BASE_MICROS = {4_000, 8_000, 20_000};
    private static final double[] BASE_FAILURES = {0.002, 0.005, 0.01};
    private static final double[] BAD_FAILURES = {0.1, 0.3, 1.0};
    private static final double[] BAD_SLOWNESS = {2.0, 3.0, 8.0};
    private static final double SPREAD = 0.4;
    private static final double LOADED_SHARE = 0.4;
    private static final double OVERLOAD_SLOWNESS = 4.0;
    private static final double OVERLOAD_REFUSED = 0.15;
    private static final double OVERLOAD_FAILED = 0.03;
    private static final long TIMEOUT_MICROS = 1_000_000;
    private static final int COLD_CALLS = 15;
    private static final double COLD_SLOWNESS = 8.0;
    private static final long LOST_FROM_MILLIS = 25_000;
    private static final long LOST_TO_MILLIS = 85_000;
    private static final long NOTICED_MILLIS = 2_000;
    private static final double PROBED_PART = 0.1;
    private static final long EARLIEST_LATER_MILLIS = 20_000;
    private static final long LATEST_LATER_MILLIS = 150_000;
    private static final long DOWN_MILLIS = 3_000;

    private static final long STALL_EVERY_MILLIS = 30_000;
    private static final long STALL_MILLIS = 800;
    private static final long STALL_SHIFT_MILLIS = 7_300;

    private final Scenario scenario;
    private final RandomGenerator random;
    private final int newTargets;
    private final long laterMillis;
    private final int[] callsOfNew;
    private final long[] downUntilOld = new long[OLD_TARGETS];
    private final long[] downUntilNew;

    FakeService(Scenario scenario, RandomGenerator random) {
        this.scenario = scenario;
        this.random = random;
        this.newTargets = 2 + scenario.seed() % 2;
        this.laterMillis = random.nextLong(EARLIEST_LATER_MILLIS, LATEST_LATER_MILLIS);
        this.callsOfNew = new int[newTargets];
        this.downUntilNew = new long[newTargets];
    }

    int newTargets() {
        return newTargets;
    }

    int route() {
        double draw = random.nextDouble();
        for (int route = 0; route < ROUTES; route++) {
            if (draw < ROUTE_PARTS[route]) {
                return route;
            }
        }
        return ROUTES - 1;
    }

    /** A request that crashes the target which runs it. */
    FakeAnswer poison(boolean fresh, int target, long millis) {
        long[] down = fresh ? downUntilNew : downUntilOld;
        if (millis < down[target]) {
            return new FakeAnswer(CallResult.REFUSED, 0, false);
        }
        down[target] = millis + DOWN_MILLIS;
        return new FakeAnswer(CallResult.LOST, 0, false);
    }

    FakeAnswer answer(boolean fresh, int route, int target, double share, long millis) {
        long[] down = fresh ? downUntilNew : downUntilOld;
        if (millis < down[target]) {
            return new FakeAnswer(CallResult.REFUSED, 0, false);
        }
        boolean overloaded = scenario.traffic().isOverloaded(millis);
        if (overloaded && random.nextDouble() < OVERLOAD_REFUSED) {
            return new FakeAnswer(CallResult.REFUSED, 0, false);
        }
        boolean cut =
                scenario.kind() == VersionKind.GOOD_DATA_CENTRE_LOST
                        && target % DATA_CENTRES == 0
                        && millis >= LOST_FROM_MILLIS
                        && millis < LOST_TO_MILLIS;
        if (cut) {
            return inLostDataCentre(millis);
        }
        return run(fresh, route, target, share, millis, overloaded);
    }

    private FakeAnswer inLostDataCentre(long millis) {
        boolean noticed = millis >= LOST_FROM_MILLIS + NOTICED_MILLIS;
        if (noticed && random.nextDouble() >= PROBED_PART) {
            return new FakeAnswer(CallResult.REFUSED, 0, false);
        }
        return new FakeAnswer(CallResult.TIMED_OUT, TIMEOUT_MICROS, false);
    }

    private FakeAnswer run(
            boolean fresh, int route, int target, double share, long millis, boolean overloaded) {
        double micros = BASE_MICROS[route] * Math.exp(SPREAD * random.nextGaussian());
        double failing = BASE_FAILURES[route];
        if (overloaded) {
            micros *= OVERLOAD_SLOWNESS;
            failing += OVERLOAD_FAILED;
        }
        micros += stall(fresh ? target + OLD_TARGETS : target, millis);
        double bad = 0;
        double slowness = 1;
        if (fresh) {
            bad = badFailures(route, share, millis);
            slowness = slowness(route, millis);
            micros *= slowness * coldness(target);
            failing += oneBadTarget(target);
        }
        boolean badness = random.nextDouble() < bad;
        if (badness || random.nextDouble() < failing) {
            return new FakeAnswer(CallResult.FAILED, (long) micros, badness);
        }
        boolean late = micros >= TIMEOUT_MICROS;
        CallResult result = late ? CallResult.TIMED_OUT : CallResult.ANSWERED;
        return new FakeAnswer(result, (long) Math.min(micros, TIMEOUT_MICROS), slowness > 1);
    }

    /** A target that stands still for a moment keeps all calls of that moment waiting. */
    private double stall(int target, long millis) {
        long phase = (millis + target * STALL_SHIFT_MILLIS) % STALL_EVERY_MILLIS;
        boolean stalls = scenario.kind() == VersionKind.GOOD_STALLS && phase < STALL_MILLIS;
        return stalls ? (STALL_MILLIS - phase) * 1_000.0 : 0;
    }

    private double coldness(int target) {
        callsOfNew[target]++;
        boolean cold = scenario.kind() == VersionKind.GOOD_COLD && callsOfNew[target] <= COLD_CALLS;
        return cold ? COLD_SLOWNESS : 1;
    }

    private double oneBadTarget(int target) {
        return scenario.kind() == VersionKind.GOOD_ONE_BAD_TARGET && target == 0 ? 0.5 : 0;
    }

    private double badFailures(int route, double share, long millis) {
        boolean shows =
                switch (scenario.kind()) {
                    case FAILS_AT_ONCE -> true;
                    case FAILS_LATER -> millis >= laterMillis;
                    case FAILS_UNDER_LOAD -> share >= LOADED_SHARE;
                    case FAILS_ON_ONE_ROUTE -> route == ROUTES - 1;
                    default -> false;
                };
        return shows ? BAD_FAILURES[scenario.seed() % BAD_FAILURES.length] : 0;
    }

    private double slowness(int route, long millis) {
        boolean shows =
                switch (scenario.kind()) {
                    case SLOW_AT_ONCE -> true;
                    case SLOW_LATER -> millis >= laterMillis;
                    case SLOW_ON_ONE_ROUTE -> route == ROUTES - 1;
                    default -> false;
                };
        return shows ? BAD_SLOWNESS[scenario.seed() % BAD_SLOWNESS.length] : 1;
    }
}
