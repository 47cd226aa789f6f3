package org.cuminreach.decisions.rollout;

import java.util.List;
import java.util.Optional;
import org.cuminreach.decisions.configuration.RolloutProgress;
import org.cuminreach.document.Rollout;

/** Judges a rollout in fixed steps of share against fixed thresholds. */
public final class RolloutJudge {
    private static final int[] STEPS_PER_MILLE = {10, 50, 250, 1_000};
    private static final long SHORTEST_STEP_MILLIS = 2_000;
    private static final long FEWEST_CALLS = 20;
    private static final double FAILURE_MARGIN = 0.05;
    private static final double SLOWNESS_FACTOR = 2.0;

    private RolloutJudge() {}

    /**
     * Judges a rollout that is moving.
     *
     * @param wanted what the document wants
     * @param progress where the rollout stands
     * @param evidence what was seen of the service since the latest step
     * @param nowMillis present wall-clock time, in milliseconds since the epoch
     * @return the verdict
     */
    public static Verdict judge(
            Rollout wanted, RolloutProgress progress, List<Evidence> evidence, long nowMillis) {
        Optional<String> badness = badness(progress.version(), evidence);
        if (badness.isPresent()) {
            return new Verdict.TakeBack(badness.get());
        }
        if (progress.sharePerMille() == 0) {
            return new Verdict.Advance(nextShare(wanted, progress), "first step");
        }
        long calls = callsOf(progress.version(), evidence);
        boolean stepEnded = nowMillis - progress.steppedMillis() >= SHORTEST_STEP_MILLIS;
        if (!stepEnded || calls < FEWEST_CALLS) {
            return new Verdict.Wait();
        }
        if (progress.sharePerMille() >= wanted.sharePerMille()) {
            return new Verdict.Done("good over " + calls + " calls at the wanted share");
        }
        return new Verdict.Advance(nextShare(wanted, progress), "good over " + calls + " calls");
    }

    private static int nextShare(Rollout wanted, RolloutProgress progress) {
        for (int step : STEPS_PER_MILLE) {
            if (step > progress.sharePerMille()) {
                return Math.min(step, wanted.sharePerMille());
            }
        }
        return wanted.sharePerMille();
    }

    private static long callsOf(String version, List<Evidence> evidence) {
        return evidence.stream()
                .filter(seen -> seen.version().equals(version))
                .mapToLong(Evidence::calls)
                .sum();
    }

    private static Optional<String> badness(String version, List<Evidence> evidence) {
        for (Evidence fresh : evidence) {
            if (!fresh.version().equals(version) || fresh.calls() < FEWEST_CALLS) {
                continue;
            }
            Optional<Evidence> old =
                    evidence.stream()
                            .filter(seen -> seen.route().equals(fresh.route()))
                            .filter(seen -> !seen.version().equals(version))
                            .filter(seen -> seen.calls() >= FEWEST_CALLS)
                            .findFirst();
            Optional<String> reason = compare(fresh, old);
            if (reason.isPresent()) {
                return reason;
            }
        }
        return Optional.empty();
    }

    private static Optional<String> compare(Evidence fresh, Optional<Evidence> old) {
        double failing = failureShare(fresh);
        double failingBefore = old.map(RolloutJudge::failureShare).orElse(0.0);
        if (failing > failingBefore + FAILURE_MARGIN) {
            return Optional.of(
                    "route %s fails %.3f of calls, the old version %.3f"
                            .formatted(fresh.route(), failing, failingBefore));
        }
        if (old.isPresent() && meanMicros(fresh) > SLOWNESS_FACTOR * meanMicros(old.get())) {
            return Optional.of(
                    "route %s takes %.0f us, the old version %.0f us"
                            .formatted(fresh.route(), meanMicros(fresh), meanMicros(old.get())));
        }
        return Optional.empty();
    }

    private static double failureShare(Evidence evidence) {
        return (double) evidence.failures() / evidence.calls();
    }

    private static double meanMicros(Evidence evidence) {
        return (double) evidence.totalMicros() / evidence.calls();
    }
}
