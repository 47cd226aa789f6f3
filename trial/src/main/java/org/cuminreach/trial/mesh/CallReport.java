package org.cuminreach.trial.mesh;

import java.util.Map;
import org.cuminreach.trial.load.CallOutcome;
import org.cuminreach.trial.load.CallStatistics;

/** Compares the outcomes that callers saw with the calls that the targets ran. */
public final class CallReport {
    private CallReport() {}

    /**
     * Adds the rows about calls.
     *
     * @param table receives the rows
     * @param tally outcomes of calls that must not run more than once
     * @param runs number of runs of each call on the targets, by call number
     */
    public static void addTo(ResultTable table, CallStatistics tally, Map<String, Integer> runs) {
        table.add("calls sent", tally.sentCount());
        table.add("complete answers", tally.count(CallOutcome.SUCCEEDED));
        table.add("complete answers with a failure status", tally.count(CallOutcome.FAILED));
        table.add("refusals with outcome not run", tally.count(CallOutcome.NOT_RUN));
        table.add("unknown outcomes", tally.count(CallOutcome.UNKNOWN));
        table.checkZero("answers to another call", tally.count(CallOutcome.MISMATCHED));
        table.checkZero("calls without any answer", tally.sentCount() - tally.outcomes().size());
        table.checkZero(
                "calls run more than once",
                runs.values().stream().filter(count -> count > 1).count());
        table.checkZero(
                "refused as not run, but run",
                tally.outcomes().entrySet().stream()
                        .filter(call -> call.getValue() == CallOutcome.NOT_RUN)
                        .filter(call -> runs.containsKey(call.getKey()))
                        .count());
    }
}
