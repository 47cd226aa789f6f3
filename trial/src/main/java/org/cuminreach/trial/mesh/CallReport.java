package org.cuminreach.trial.mesh;

import java.util.Map;
import org.cuminreach.trial.load.CallOutcome;
import org.cuminreach.trial.load.CallTally;

/** Checks what callers saw against what the targets ran. */
public final class CallReport {
    private CallReport() {}

    /**
     * Adds the rows that concern calls.
     *
     * @param table receives the rows
     * @param tally what callers saw of orders, none of which may run twice
     * @param runs how often targets ran each order
     */
    public static void addTo(ResultTable table, CallTally tally, Map<String, Integer> runs) {
        table.add("calls sent", tally.sentCount());
        table.add("whole answers", tally.count(CallOutcome.WHOLE));
        table.add("whole answers that say failed", tally.count(CallOutcome.WHOLE_FAILED));
        table.add("refusals that say not run", tally.count(CallOutcome.NOT_RUN));
        table.add("unknown outcomes", tally.count(CallOutcome.UNKNOWN));
        table.checkZero("crossed answers", tally.count(CallOutcome.CROSSED));
        table.checkZero("calls without any answer", tally.sentCount() - tally.outcomes().size());
        table.checkZero(
                "orders run twice", runs.values().stream().filter(count -> count > 1).count());
        table.checkZero(
                "refused as not run, yet run",
                tally.outcomes().entrySet().stream()
                        .filter(call -> call.getValue() == CallOutcome.NOT_RUN)
                        .filter(call -> runs.containsKey(call.getKey()))
                        .count());
    }
}
