package org.cuminreach.decisions.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Non-inferiority test of a new version: it is passed when it is unlikely that the new version
 * fails a quarter of its calls more than the old one in the same time slots, over all routes and on
 * each route with a relevant share of the calls.
 */
final class NonInferiorityTest {
    /** Additional share of failing calls, compared with the old version, of an inferior version. */
    private static final double INFERIORITY_MARGIN = 0.25;

    /** Minimum log likelihood ratio of non-inferiority over all routes: odds of twenty to one. */
    private static final double MIN_LOG_RATIO = 3;

    /**
     * Minimum log likelihood ratio on one route, per share of the calls on this route: a route with
     * a quarter of the calls needs the same ratio as all routes together, a rarer one needs less.
     */
    private static final double ROUTE_LOG_RATIO_PER_SHARE = 4 * MIN_LOG_RATIO;

    /** Routes with a smaller share of the old version's calls are tested only with all others. */
    private static final double MIN_ROUTE_SHARE = 0.05;

    /** Share of failing calls that is expected of any version. */
    private static final double MIN_FAILURE_SHARE = 0.01;

    private static final double MAX_FAILURE_SHARE = 0.98;

    /** Calls of both versions on one route or on all routes. */
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

        /** Log likelihood ratio of a version as good as the old one to an inferior one. */
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
        CallTotals allRoutes = new CallTotals();
        for (EvidenceSlot slot : slots) {
            boolean hasNewVersion =
                    slot.cells().keySet().stream()
                            .anyMatch(key -> key.version().equals(newVersion));
            if (hasNewVersion) {
                slot.cells()
                        .forEach(
                                (key, counter) -> {
                                    boolean ofNew = key.version().equals(newVersion);
                                    allRoutes.add(ofNew, counter);
                                    routes.computeIfAbsent(key.route(), name -> new CallTotals())
                                            .add(ofNew, counter);
                                });
            }
        }
        return allRoutes.logLikelihoodRatio() >= MIN_LOG_RATIO
                && routes.values().stream().allMatch(route -> isPassedOnRoute(route, allRoutes));
    }

    private static boolean isPassedOnRoute(CallTotals route, CallTotals allRoutes) {
        double share = route.oldCalls / Math.max(1, allRoutes.oldCalls);
        return share < MIN_ROUTE_SHARE
                || route.logLikelihoodRatio()
                        >= Math.min(MIN_LOG_RATIO, share * ROUTE_LOG_RATIO_PER_SHARE);
    }
}
