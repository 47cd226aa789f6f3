package org.cuminreach.trial.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;

/** Prints the results of simulated rollouts with one policy. */
final class RolloutTable {
    private final List<RolloutResult> results;

    RolloutTable(List<RolloutResult> results) {
        this.results = List.copyOf(results);
    }

    static void printHeading() {
        System.out.printf(
                "%-34s %14s %12s %9s %9s %9s %10s %10s%n",
                "",
                "good in time",
                "false alarms",
                "late",
                "detected",
                "p50 ms",
                "p99 ms",
                "bad calls");
    }

    void printTotals(String name) {
        printRow(name, result -> true);
        printRow("  safety", result -> result.scenario().priority().ordinal() == 0);
        printRow("  punctuality", result -> result.scenario().priority().ordinal() == 1);
        for (Traffic traffic : Traffic.values()) {
            printRow(
                    "  " + traffic.name().toLowerCase(Locale.ROOT),
                    result -> result.scenario().traffic() == traffic);
        }
    }

    void printKinds() {
        for (VersionKind kind : VersionKind.values()) {
            for (Traffic traffic : Traffic.values()) {
                String name = (kind + " " + traffic).toLowerCase(Locale.ROOT);
                printRow(
                        "  " + name,
                        result ->
                                result.scenario().kind() == kind
                                        && result.scenario().traffic() == traffic);
            }
        }
    }

    private void printRow(String name, Predicate<RolloutResult> filter) {
        List<RolloutResult> rows = results.stream().filter(filter).toList();
        if (rows.isEmpty()) {
            return;
        }
        List<RolloutResult> good = rows.stream().filter(r -> r.scenario().kind().isGood()).toList();
        List<RolloutResult> bad = rows.stream().filter(r -> !r.scenario().kind().isGood()).toList();
        List<Long> times = new ArrayList<>();
        bad.forEach(result -> result.regressionMillis().ifPresent(times::add));
        times.sort(Long::compare);
        long calls = bad.stream().mapToLong(RolloutResult::calls).sum();
        long badCalls = bad.stream().mapToLong(RolloutResult::regressionCalls).sum();
        System.out.printf(
                Locale.ROOT,
                "%-34s %14s %12s %9s %9s %9s %10s %10s%n",
                name,
                ratio(good, RolloutResult::doneInTime),
                ratio(good, RolloutResult::rolledBack),
                ratio(rows, RolloutResult::reportedLate),
                ratio(bad, RolloutResult::rolledBack),
                quantile(times, 0.5),
                quantile(times, 0.99),
                calls == 0 ? "-" : "%.3f%%".formatted(100.0 * badCalls / calls));
    }

    private static String ratio(List<RolloutResult> rows, Predicate<RolloutResult> counted) {
        return rows.isEmpty() ? "-" : rows.stream().filter(counted).count() + "/" + rows.size();
    }

    private static String quantile(List<Long> sorted, double quantile) {
        return sorted.isEmpty()
                ? "-"
                : Long.toString(sorted.get((int) (quantile * (sorted.size() - 1))));
    }
}
