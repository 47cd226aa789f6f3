package org.cuminreach.trial.mesh;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** The table of results of a trial, which passes if every checked figure meets its requirement. */
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
     * Adds a figure without a requirement.
     *
     * @param figure what was measured
     * @param value the measured value
     */
    public void add(String figure, Object value) {
        rows.add(new Row(figure, String.valueOf(value), "", true));
    }

    /**
     * Adds a figure with a requirement.
     *
     * @param figure what was measured
     * @param value the measured value
     * @param requirement the requirement, as text
     * @param passed whether the value meets the requirement
     */
    public void check(String figure, Object value, String requirement, boolean passed) {
        rows.add(new Row(figure, String.valueOf(value), requirement, passed));
    }

    /**
     * Adds a count that is required to be zero.
     *
     * @param figure what was counted
     * @param count the count
     */
    public void checkZero(String figure, long count) {
        check(figure, count, "0", count == 0);
    }

    /**
     * Tells whether every requirement is met.
     *
     * @return true if no check failed
     */
    public boolean allPassed() {
        return rows.stream().allMatch(Row::passed);
    }

    /**
     * Prints the table.
     *
     * @param out receives the table
     */
    public void print(PrintStream out) {
        out.printf("%n%-48s %-18s %-16s %s%n", "figure", "measured", "required", "passed");
        for (Row row : rows) {
            String passed = row.requirement().isEmpty() ? "" : row.passed() ? "yes" : "NO";
            out.printf(
                    "%-48s %-18s %-16s %s%n", row.figure(), row.value(), row.requirement(), passed);
        }
        out.println(allPassed() ? "all requirements met" : "a requirement was not met");
    }
}
