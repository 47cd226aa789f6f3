package org.cuminreach.trial.demo;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** The closing table; the demonstration succeeds when every promised figure held. */
final class DemoReport {
    private record Row(String figure, String value, String promise, boolean held) {}

    private final List<Row> rows = new ArrayList<>();

    void add(String figure, Object value) {
        rows.add(new Row(figure, String.valueOf(value), "", true));
    }

    void promise(String figure, Object value, String promise, boolean held) {
        rows.add(new Row(figure, String.valueOf(value), promise, held));
    }

    boolean allHeld() {
        return rows.stream().allMatch(Row::held);
    }

    void print(PrintStream out) {
        out.printf("%n%-44s %-22s %-22s %s%n", "figure", "measured", "promised", "held");
        for (Row row : rows) {
            String held = row.promise().isEmpty() ? "" : row.held() ? "yes" : "NO";
            out.printf("%-44s %-22s %-22s %s%n", row.figure(), row.value(), row.promise(), held);
        }
        out.println(allHeld() ? "all promised figures held" : "a promised figure did not hold");
    }
}
