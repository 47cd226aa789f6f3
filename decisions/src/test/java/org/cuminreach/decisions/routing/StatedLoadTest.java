package org.cuminreach.decisions.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class StatedLoadTest {
    private static final int SLOTS = 4;

    @Example
    void threeAndFourFiguresAreRead() {
        assertThat(StatedLoad.parse("3,0,8"))
                .isEqualTo(new StatedLoad.Figures(3, 0, 8, OptionalInt.empty()));
        assertThat(StatedLoad.parse(" 4,2,4,250 "))
                .isEqualTo(new StatedLoad.Figures(4, 2, 4, OptionalInt.of(250)));
        assertThat(StatedLoad.parse("")).isEqualTo(new StatedLoad.Silent());
    }

    @Example
    void malformedCutAndOutOfRangeFiguresAreUnreadable() {
        for (String text :
                List.of(
                        "3",
                        "3,0",
                        "3,0,",
                        "3,0,8,",
                        "-1,0,8,100",
                        "3,0,0,100",
                        "3,0,8,10",
                        "3,0,8,0",
                        "3,0,8,999999",
                        "3,0,8,100,7",
                        "1e9,0,8",
                        "9999999,0,8")) {
            assertThat(StatedLoad.parse(text)).isEqualTo(new StatedLoad.Unreadable(text));
        }
    }

    @Property(seed = "61", tries = 500)
    void textForTheLogIsBoundedAndPrintable(@ForAll String text) {
        if (StatedLoad.parse(text) instanceof StatedLoad.Unreadable unreadable) {
            assertThat(unreadable.text().length()).isAtMost(StatedLoad.MAX_TEXT_LENGTH);
            assertThat(unreadable.text()).doesNotContain("\n");
            assertThat(unreadable.text()).doesNotContain("\"");
        }
    }

    @Property(seed = "62", tries = 200)
    void paceFadesWithinHalfSecond(@ForAll @IntRange(min = 50, max = 5_000) int percent) {
        WorkPace pace = new WorkPace(percent, 0);

        assertThat(pace.factor()).isWithin(1e-9).of(percent / 100.0);
        assertThat(Math.abs(pace.after(250).factor() - 1))
                .isAtMost(Math.abs(pace.factor() - 1) / 2 + 1e-9);
        assertThat(pace.after(500).factor()).isEqualTo(1.0);
        assertThat(pace.after(500).isFresh()).isFalse();
    }

    @Property(seed = "63", tries = 200)
    void paceSurvivesRoundTripOfReport(
            @ForAll @IntRange(min = 50, max = 5_000) int percent,
            @ForAll @IntRange(min = 0, max = 499) int ageMillis,
            @ForAll boolean draining) {
        LoadReport report =
                new LoadReport(
                        4,
                        2,
                        SLOTS,
                        draining,
                        120,
                        List.of(0, 80),
                        Optional.of(new WorkPace(percent, ageMillis)));

        assertThat(LoadReport.parse(report.text())).hasValue(report);
    }

    /** A node of the build before takes the text up to the state, and its figures after it. */
    @Example
    void paceStandsWhereEarlierNodesIgnoreIt() {
        String text =
                new LoadReport(
                                4,
                                2,
                                SLOTS,
                                true,
                                120,
                                List.of(0, 80),
                                Optional.of(new WorkPace(250, 40)))
                        .text();

        assertThat(text).isEqualTo("4/2/4/draining:250:40/120/0,80");
    }

    @Example
    void paceOutOfRangeIsIgnoredButTheReportCounts() {
        assertThat(LoadReport.parse("4/2/4/ready:7:40").orElseThrow().pace()).isEmpty();
        assertThat(LoadReport.parse("4/2/4/ready:250").orElseThrow().pace()).isEmpty();
        assertThat(LoadReport.parse("4/2/4/ready:x:y").orElseThrow().running()).isEqualTo(4);
    }

    @Example
    void slowVmCostsMoreUntilTheFigureHasFaded() {
        TargetStatistics told = TargetStatistics.warm(SLOTS);
        TargetStatistics silent = TargetStatistics.warm(SLOTS);
        told.recordLoadReport(
                new LoadReport(
                        1, 0, SLOTS, false, 0, List.of(), Optional.of(new WorkPace(250, 100))),
                1_000);
        silent.recordLoadReport(new LoadReport(1, 0, SLOTS, false), 1_000);

        assertThat(told.cost(1_000)).isGreaterThan(2 * silent.cost(1_000));
        assertThat(told.cost(1_400)).isEqualTo(silent.cost(1_400));
        assertThat(told.pace(1_400)).isEmpty();
    }

    @Example
    void targetThatStopsTellingIsTreatedAsUsual() {
        TargetStatistics statistics = TargetStatistics.warm(SLOTS);
        statistics.recordLoadReport(
                new LoadReport(1, 0, SLOTS, false, 0, List.of(), Optional.of(new WorkPace(250, 0))),
                1_000);
        statistics.recordLoadReport(new LoadReport(1, 0, SLOTS, false), 1_001);

        assertThat(statistics.pace(1_001)).isEmpty();
    }
}
