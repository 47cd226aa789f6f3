package org.cuminreach.decisions.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.cuminreach.document.RolloutCriteria;

/**
 * Compares the new version of a service with the old one at the same time, on the same route and in
 * the same data centre, by failures and by the median and the tail of the latencies.
 */
final class VersionComparison {
    private static final double PER_MILLE = 1_000.0;
    private static final double PERCENT = 100.0;
    private static final double TAIL_QUANTILE = 0.95;
    private static final double MEDIAN_QUANTILE = 0.5;
    private static final double SLOWNESS_MARGIN = 0.05;
    private static final double MAX_INFORMATIVE_EXPECTATION = 0.9;
    private static final long MAX_LATENCY_EVENTS = 3;
    private static final int STALE_EXTRA_BUCKETS = 1;
    private static final double OVERLOAD_FAILURE_MARGIN = 0.05;

    /** Quantity that is compared by a test. */
    private enum Metric {
        FAILURES,
        MEDIAN_LATENCY,
        TAIL_LATENCY
    }

    /** Results of one target of the new version on one route in one slot, and the baseline. */
    private record Observation(int slot, EvidenceKey key, long events, long bad, double expected) {}

    private final List<EvidenceSlot> slots;
    private final RolloutCriteria criteria;
    private final Map<Metric, List<Observation>> observations = new TreeMap<>();
    private final Map<EvidenceKey, Long> calls = new HashMap<>();
    private final Set<String> targets = new TreeSet<>();
    private final Set<String> routes = new TreeSet<>();

    private VersionComparison(List<EvidenceSlot> slots, String version, RolloutCriteria criteria) {
        this.slots = slots;
        this.criteria = criteria;
        for (Metric metric : Metric.values()) {
            observations.put(metric, new ArrayList<>());
        }
        Map<String, OldVersionHistory> histories = OldVersionHistory.byRoute(slots, version);
        for (int index = slots.size() - 1; index >= 0; index--) {
            for (Map.Entry<EvidenceKey, CallCounter> cell : slots.get(index).cells().entrySet()) {
                EvidenceKey key = cell.getKey();
                if (key.version().equals(version) && cell.getValue().reached() > 0) {
                    OldVersionHistory history =
                            histories.computeIfAbsent(
                                    key.route(), route -> OldVersionHistory.empty(slots));
                    addCell(index, key, cell.getValue(), history);
                }
            }
        }
    }

    static VersionComparison of(
            List<EvidenceSlot> slots, String version, RolloutCriteria criteria) {
        return new VersionComparison(slots, version, criteria);
    }

    /** Returns the targets of the new version that received calls. */
    Set<String> targets() {
        return targets;
    }

    /** Assesses the new version, optionally without one of its targets. */
    Assessment assess(Optional<String> excludedTarget) {
        double falseAlarm = criteria.falseAlarmPerMille() / PER_MILLE / Metric.values().length;
        double logLikelihoodRatio = Double.NEGATIVE_INFINITY;
        Optional<String> regression = Optional.empty();
        for (Metric metric : Metric.values()) {
            SequentialTest allRoutes = newTest(metric);
            Map<String, SequentialTest> byRoute = new TreeMap<>();
            runTests(metric, excludedTarget, allRoutes, byRoute);
            logLikelihoodRatio = Math.max(logLikelihoodRatio, allRoutes.maxLogRatio());
            if (regression.isEmpty() && allRoutes.detectsRegression(falseAlarm / 2, slots.size())) {
                regression = Optional.of(describe(metric, "all routes", allRoutes));
            }
            for (Map.Entry<String, SequentialTest> route : byRoute.entrySet()) {
                SequentialTest test = route.getValue();
                logLikelihoodRatio = Math.max(logLikelihoodRatio, test.maxLogRatio());
                if (regression.isEmpty()
                        && test.detectsRegression(falseAlarm / 2 / routes.size(), slots.size())) {
                    regression = Optional.of(describe(metric, "route " + route.getKey(), test));
                }
            }
        }
        return new Assessment(regression, logLikelihoodRatio, callsByRoute(excludedTarget));
    }

    private static SequentialTest newTest(Metric metric) {
        return metric == Metric.FAILURES
                ? SequentialTest.of(AlternativeHypotheses.OF_FAILURES)
                : SequentialTest.of(AlternativeHypotheses.OF_SLOWNESS);
    }

    /** Adds the observations, which are ordered from the newest slot to the oldest. */
    private void runTests(
            Metric metric,
            Optional<String> excludedTarget,
            SequentialTest allRoutes,
            Map<String, SequentialTest> byRoute) {
        int slot = slots.size();
        for (Observation observation : observations.get(metric)) {
            if (excludedTarget.isPresent()
                    && excludedTarget.get().equals(observation.key().target())) {
                continue;
            }
            if (observation.slot() != slot) {
                allRoutes.endSpan();
                byRoute.values().forEach(SequentialTest::endSpan);
                slot = observation.slot();
            }
            allRoutes.add(observation.events(), observation.bad(), observation.expected());
            byRoute.computeIfAbsent(observation.key().route(), name -> newTest(metric))
                    .add(observation.events(), observation.bad(), observation.expected());
        }
        allRoutes.endSpan();
        byRoute.values().forEach(SequentialTest::endSpan);
    }

    private void addCell(
            int slot, EvidenceKey key, CallCounter counter, OldVersionHistory history) {
        targets.add(key.target());
        routes.add(key.route());
        calls.merge(key, counter.reached(), Long::sum);
        boolean overloaded = !history.hasConcurrentCalls(slot) && history.isOverloaded(slot);
        addFailures(slot, key, counter, history, overloaded);
        if (counter.timed() > 0 && history.hasReferenceLatencies(slot) && !overloaded) {
            addSlowness(Metric.MEDIAN_LATENCY, MEDIAN_QUANTILE, slot, key, counter, history);
            addSlowness(Metric.TAIL_LATENCY, TAIL_QUANTILE, slot, key, counter, history);
        }
    }

    /** Counts the losses of one target as one event, since a crash loses all its calls at once. */
    private void addFailures(
            int slot,
            EvidenceKey key,
            CallCounter counter,
            OldVersionHistory history,
            boolean overloaded) {
        long losses = Math.min(1, counter.losses());
        long events = counter.reached() - counter.losses() + losses;
        double margin = criteria.failureDifferencePerMille() / PER_MILLE / 2;
        if (!history.hasConcurrentCalls(slot)) {
            margin *= 2;
        }
        if (overloaded) {
            margin += OVERLOAD_FAILURE_MARGIN;
        }
        double expected = history.expectedFailures(slot, key.dataCentre(), margin);
        addObservation(
                Metric.FAILURES,
                new Observation(slot, key, events, counter.failures() + losses, expected));
    }

    /** Counts the calls of one target as few events, since a stall delays many calls together. */
    private void addSlowness(
            Metric metric,
            double quantile,
            int slot,
            EvidenceKey key,
            CallCounter counter,
            OldVersionHistory history) {
        int span = LatencyBuckets.spanOf(1 + criteria.slownessPercent() / PERCENT);
        int extra = history.hasConcurrentCalls(slot) ? 0 : STALE_EXTRA_BUCKETS;
        int bucket = history.quantileBucket(slot, quantile) + span + extra;
        double expected = history.expectedSlower(slot, key.dataCentre(), bucket, SLOWNESS_MARGIN);
        long timed = counter.timed();
        long events = Math.min(timed, MAX_LATENCY_EVENTS);
        long slower = Math.round((double) counter.slowerThan(bucket) * events / timed);
        addObservation(metric, new Observation(slot, key, events, slower, expected));
    }

    /** Skips observations where nearly all calls of the old version are bad as well. */
    private void addObservation(Metric metric, Observation observation) {
        if (observation.expected() < MAX_INFORMATIVE_EXPECTATION) {
            observations.get(metric).add(observation);
        }
    }

    private Map<String, Long> callsByRoute(Optional<String> excludedTarget) {
        Map<String, Long> counted = new HashMap<>();
        calls.forEach(
                (key, count) -> {
                    if (excludedTarget.isEmpty() || !excludedTarget.get().equals(key.target())) {
                        counted.merge(key.route(), count, Long::sum);
                    }
                });
        return counted;
    }

    private static String describe(Metric metric, String where, SequentialTest test) {
        String what =
                switch (metric) {
                    case FAILURES -> "fails more than";
                    case MEDIAN_LATENCY -> "is slower than";
                    case TAIL_LATENCY -> "has slower slowest calls than";
                };
        return "on %s it %s the old version, log likelihood ratio %.1f"
                .formatted(where, what, Math.max(test.totalLogRatio(), test.maxLogRatio()));
    }
}
