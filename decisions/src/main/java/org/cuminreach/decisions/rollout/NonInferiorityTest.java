package org.cuminreach.decisions.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Whether calls have shown that a new version is not bad: that it fails a quarter of its calls more
 * than the old one in the same spans of time must have become unlikely, on the whole and on each
 * route that carries a part of the calls.
 */
final class NonInferiorityTest {
    /** Calls that a version must fail beyond the old one's to count as bad, as a share. */
    private static final double INFERIORITY_MARGIN = 0.25;

    /** Least log likelihood ratio against badness on all routes: twenty to one. */
    private static final double MIN_LOG_RATIO = 3;

    /**
     * Least log likelihood ratio against badness on a route for each part of the calls that it has:
     * a route with a quarter of them is to be proven like the whole, a rarer one by fewer calls.
     */
    private static final double ROUTE_LOG_RATIO_PER_SHARE = 4 * MIN_LOG_RATIO;

    /** Routes with a smaller share of the old version's calls are left to the whole. */
    private static final double MIN_ROUTE_SHARE = 0.05;

    /** Failures that are expected of any version. */
    private static final double MIN_FAILURE_SHARE = 0.01;

    private static final double MAX_FAILURE_SHARE = 0.98;

    /** Calls of both versions on one route. */
    private static final class CallTotals {
        private double oldCalls;
        private double oldFailures;
        private double newCalls;
        private double newFailures;

        private void add(boolean ofNew, CallCounter counter) {
            double failures = counter.failures() + counter.losses();
            if (ofNew) {
                newCalls += counter.reached();
                newFailures += failures;
            } else {
                oldCalls += counter.reached();
                oldFailures += failures;
            }
        }

        /** Log likelihood ratio of a version as good as the old one against a bad one. */
        private double logLikelihoodRatio() {
            double expected = (oldFailures + MIN_FAILURE_SHARE) / (oldCalls + 1);
            double good =
                    Math.clamp(expected, MIN_FAILURE_SHARE, MAX_FAILURE_SHARE - MIN_FAILURE_SHARE);
            double bad = Math.min(MAX_FAILURE_SHARE, good + INFERIORITY_MARGIN);
            return newFailures * Math.log(good / bad)
                    + (newCalls - newFailures) * Math.log((1 - good) / (1 - bad));
        }
    }

    private NonInferiorityTest() {}

    static boolean isPassed(List<EvidenceSlot> slots, String newVersion) {
        Map<String, CallTotals> routes = new HashMap<>();
        CallTotals whole = new CallTotals();
        for (EvidenceSlot slot : slots) {
            boolean compares =
                    slot.cells().keySet().stream()
                            .anyMatch(key -> key.version().equals(newVersion));
            if (compares) {
                slot.cells()
                        .forEach(
                                (key, counter) -> {
                                    boolean ofNew = key.version().equals(newVersion);
                                    whole.add(ofNew, counter);
                                    routes.computeIfAbsent(key.route(), name -> new CallTotals())
                                            .add(ofNew, counter);
                                });
            }
        }
        return whole.logLikelihoodRatio() >= MIN_LOG_RATIO
                && routes.values().stream().allMatch(route -> isPassedOnRoute(route, whole));
    }

    private static boolean isPassedOnRoute(CallTotals route, CallTotals whole) {
        double share = route.oldCalls / Math.max(1, whole.oldCalls);
        return share < MIN_ROUTE_SHARE
                || route.logLikelihoodRatio()
                        >= Math.min(MIN_LOG_RATIO, share * ROUTE_LOG_RATIO_PER_SHARE);
    }
}
