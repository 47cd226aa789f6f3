package org.cuminreach.trial.mesh;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** The closing table of a trial, which succeeds when every promised figure held. */
public final class ResultTable {
    private record Row(String figure, String value, String requirement, boolean passed) {}

    private final List<Row> rows = new ArrayList<>();

    private ResultTable() {}

    /**
     * Returns a table without rows.
     *
     * @return an empty table
     */
    public static ResultTable empty() {
        return new ResultTable();
    }

    /**
     * Adds a figure that nothing was promised for.
     *
     * @param figure what was measured
     * @param value the measured value
     */
    public void add(String figure, Object value) {
        rows.add(new Row(figure, String.valueOf(value), "", true));
    }

    /**
     * Adds a promised figure.
     *
     * @param figure what was measured
     * @param value the measured value
     * @param promise the promise
     * @param held whether it held
     */
    public void check(String figure, Object value, String promise, boolean held) {
        rows.add(new Row(figure, String.valueOf(value), promise, held));
    }

    /**
     * Adds a count that is promised to be zero.
     *
     * @param figure what was counted
     * @param count the count
     */
    public void checkZero(String figure, long count) {
        check(figure, count, "0", count == 0);
    }

    /**
     * Tells whether every promise held.
     *
     * @return true when none was broken
     */
    public boolean allPassed() {
        return rows.stream().allMatch(Row::passed);
    }

    /**
     * Prints the table.
     *
     * @param out where to
     */
    public void print(PrintStream out) {
        out.printf("%n%-48s %-18s %-16s %s%n", "figure", "measured", "promised", "held");
        for (Row row : rows) {
            String held = row.requirement().isEmpty() ? "" : row.passed() ? "yes" : "NO";
            out.printf(
                    "%-48s %-18s %-16s %s%n", row.figure(), row.value(), row.requirement(), held);
        }
        out.println(allPassed() ? "all promised figures held" : "a promised figure did not hold");
    }
}
