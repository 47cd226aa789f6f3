package org.cuminreach.trial.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cuminreach.decisions.configuration.RolloutPhase;
import org.cuminreach.decisions.configuration.RolloutProgress;
import org.cuminreach.decisions.rollout.CallCounts;
import org.cuminreach.decisions.rollout.Evidence;
import org.cuminreach.decisions.rollout.Verdict;
import org.cuminreach.document.Rollout;

/**
 * The baseline policy: raises the traffic share in fixed steps and compares failure rates and mean
 * running times with fixed thresholds.
 */
final class FixedStepsPolicy implements RolloutPolicy {
    private static final int[] STEPS_PER_MILLE = {10, 50, 250, 1_000};
    private static final long MIN_STEP_MILLIS = 2_000;
    private static final long MIN_CALLS = 20;
    private static final double FAILURE_MARGIN = 0.05;
    private static final double SLOWNESS_FACTOR = 2.0;

    /** Totals of one version on one route since the last step. */
    private static final class RouteTotals {
        private long calls;
        private long failures;
        private long micros;

        private void add(CallCounts counts) {
            calls += counts.reached();
            failures += counts.failures() + counts.losses() + counts.timeouts();
            micros += counts.totalMicros();
        }

        private double failureShare() {
            return (double) failures / calls;
        }

        private double meanMicros() {
            return (double) micros / calls;
        }
    }

    private final Map<String, Map<String, RouteTotals>> totalsByVersion = new HashMap<>();

    @Override
    public void add(List<Evidence> evidence, long nowMillis) {
        for (Evidence item : evidence) {
            totalsByVersion
                    .computeIfAbsent(item.key().version(), version -> new HashMap<>())
                    .computeIfAbsent(item.key().route(), route -> new RouteTotals())
                    .add(item.counts());
        }
    }

    @Override
    public boolean usesCircuitBreakers() {
        return false;
    }

    @Override
    public Verdict judge(Rollout wanted, RolloutProgress progress, long nowMillis) {
        if (progress.phase() != RolloutPhase.MOVING) {
            return new Verdict.Wait();
        }
        Verdict verdict = verdict(wanted, progress, nowMillis);
        if (!(verdict instanceof Verdict.Wait)) {
            totalsByVersion.clear();
        }
        return verdict;
    }

    private Verdict verdict(Rollout wanted, RolloutProgress progress, long nowMillis) {
        Map<String, RouteTotals> newTotals =
                totalsByVersion.getOrDefault(progress.version(), Map.of());
        if (isBad(progress.version(), newTotals)) {
            return new Verdict.RollBack("over a threshold");
        }
        if (progress.sharePerMille() == 0) {
            return new Verdict.Advance(nextShare(progress), "first step");
        }
        long calls = newTotals.values().stream().mapToLong(totals -> totals.calls).sum();
        boolean stepElapsed = nowMillis - progress.steppedMillis() >= MIN_STEP_MILLIS;
        if (!stepElapsed || calls < MIN_CALLS) {
            return new Verdict.Wait();
        }
        return progress.sharePerMille() >= wanted.sharePerMille()
                ? new Verdict.Done("good")
                : new Verdict.Advance(nextShare(progress), "good");
    }

    private static int nextShare(RolloutProgress progress) {
        for (int step : STEPS_PER_MILLE) {
            if (step > progress.sharePerMille()) {
                return step;
            }
        }
        return STEPS_PER_MILLE[STEPS_PER_MILLE.length - 1];
    }

    private boolean isBad(String version, Map<String, RouteTotals> newTotals) {
        for (Map.Entry<String, RouteTotals> route : newTotals.entrySet()) {
            RouteTotals totals = route.getValue();
            if (totals.calls < MIN_CALLS) {
                continue;
            }
            Optional<RouteTotals> oldTotals =
                    totalsByVersion.entrySet().stream()
                            .filter(other -> !other.getKey().equals(version))
                            .map(other -> other.getValue().get(route.getKey()))
                            .filter(candidate -> candidate != null && candidate.calls >= MIN_CALLS)
                            .findFirst();
            double oldFailureShare = oldTotals.map(RouteTotals::failureShare).orElse(0.0);
            boolean fails = totals.failureShare() > oldFailureShare + FAILURE_MARGIN;
            boolean slow =
                    oldTotals.isPresent()
                            && totals.meanMicros() > SLOWNESS_FACTOR * oldTotals.get().meanMicros();
            if (fails || slow) {
                return true;
            }
        }
        return false;
    }
}
