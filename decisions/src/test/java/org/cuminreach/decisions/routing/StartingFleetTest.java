package org.cuminreach.decisions.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import org.cuminreach.decisions.admission.ColdLimit;

/** Counts what callers get while targets start, recover or turn cold. */
class StartingFleetTest {
    private static final List<String> DATA_CENTRES = List.of("nidaros", "lade", "heimdal");
    private static final int TARGETS_EACH = 4;
    private static final int NODES_EACH = 8;
    private static final double CALLS_PER_SECOND = 288;
    private static final long BACK_MILLIS = 5_000;
    private static final long COLD_MILLIS = 5_000;
    private static final long END_MILLIS = 13_000;
    private static final ColdLimit LIMIT = ColdLimit.of(9.1, 1.5, 8);
    private static final int BOUND = 21;
    private static final LoadBalancingPolicy POLICY = LoadBalancingPolicy.forCostlyLinks();

    private static StartingFleet fleet(long seed) {
        return new StartingFleet(DATA_CENTRES, TARGETS_EACH, NODES_EACH, POLICY, seed);
    }

    /** Returns a fleet of which one data centre comes back cold while the others carry the load. */
    private static StartingFleet returningDataCentre(Optional<ColdLimit> limit) {
        StartingFleet fleet = fleet(28);
        for (StartingFleet.Target target : fleet.targets.subList(0, TARGETS_EACH)) {
            target.readyMillis = BACK_MILLIS;
            target.coldUntilMillis = BACK_MILLIS + COLD_MILLIS;
            target.coldLimit = limit;
        }
        fleet.run(CALLS_PER_SECOND, BACK_MILLIS, END_MILLIS);
        return fleet;
    }

    private static int mostStartsWhileCold(StartingFleet fleet) {
        return fleet.targets.subList(0, TARGETS_EACH).stream()
                .mapToInt(
                        target -> target.mostStartsInSecond(BACK_MILLIS, BACK_MILLIS + COLD_MILLIS))
                .max()
                .orElseThrow();
    }

    @Example
    void coldDataCentreIsSparedWhileOthersCarryTheRest() {
        StartingFleet slowStartAlone = returningDataCentre(Optional.empty());
        StartingFleet withLimit = returningDataCentre(Optional.of(LIMIT));

        assertThat(mostStartsWhileCold(slowStartAlone)).isGreaterThan(BOUND);
        assertThat(mostStartsWhileCold(withLimit)).isAtMost(BOUND);
        assertThat(withLimit.counts.onTime).isAtLeast((int) (0.97 * slowStartAlone.counts.onTime));
    }

    @Example
    void coldTargetTakesUpCallsAsItBecomesWarm() {
        StartingFleet fleet = returningDataCentre(Optional.of(LIMIT));
        StartingFleet.Target target = fleet.targets.getFirst();
        long warmMillis = BACK_MILLIS + COLD_MILLIS;

        assertThat(startsBetween(target, BACK_MILLIS, warmMillis)).isAtLeast(20);
        assertThat(startsBetween(target, warmMillis + 1_000, warmMillis + 3_000)).isAtLeast(30);
    }

    @Example
    void targetThatAnswersWellTakesUpItsShareSoon() {
        StartingFleet fleet = fleet(100);
        starting(fleet).forEach(target -> target.readyMillis = BACK_MILLIS);
        fleet.run(CALLS_PER_SECOND, BACK_MILLIS, END_MILLIS);

        long first = 0;
        long usual = 0;
        for (StartingFleet.Target target : starting(fleet)) {
            first += startsBetween(target, BACK_MILLIS + 1_000, BACK_MILLIS + 2_000);
            usual += startsBetween(target, END_MILLIS - 4_000, END_MILLIS) / 4;
        }
        assertThat(first).isAtLeast(usual * 2 / 3);
        assertThat(fleet.counts.late + fleet.counts.refused).isAtMost(fleet.counts.onTime / 100);
    }

    @Example
    void targetThatStartsSlowlyGetsFewCallsWhileOthersHaveRoom() {
        StartingFleet slow = fleet(100);
        for (StartingFleet.Target target : starting(slow)) {
            target.readyMillis = BACK_MILLIS;
            target.slownessAt = now -> now < BACK_MILLIS + 4_000 ? 2.5 : 1;
        }
        slow.run(CALLS_PER_SECOND, BACK_MILLIS, END_MILLIS);

        assertThat(slow.counts.late + slow.counts.refused).isAtMost(slow.counts.onTime / 20);
    }

    private static List<StartingFleet.Target> starting(StartingFleet fleet) {
        return List.of(fleet.targets.get(0), fleet.targets.get(4), fleet.targets.get(8));
    }

    private static long startsBetween(StartingFleet.Target target, long from, long to) {
        return target.starts.stream().filter(start -> start >= from && start < to).count();
    }
}
