package org.cuminreach.decisions.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class LoadReportTest {
    @Property(seed = "51", tries = 200)
    void reportSurvivesRoundTrip(
            @ForAll @IntRange(min = 0, max = 9_999) int running,
            @ForAll @IntRange(min = 0, max = 9_999) int waiting,
            @ForAll @IntRange(min = 1, max = 9_999) int limit,
            @ForAll boolean draining,
            @ForAll @IntRange(min = 0, max = 9_999) int ranMillis,
            @ForAll @Size(max = 4) List<@IntRange(min = 0, max = 9_999) Integer> waitMillis) {
        LoadReport report =
                new LoadReport(running, waiting, limit, draining, ranMillis, waitMillis);

        assertThat(LoadReport.parse(report.text())).hasValue(report);
    }

    @Property(seed = "52", tries = 500)
    void parseNeverThrows(@ForAll String text) {
        LoadReport.parse(text).ifPresent(report -> assertThat(report.limit()).isAtLeast(1));
    }

    @Example
    void malformedReportsAreRejected() {
        assertThat(LoadReport.parse("1/2/0/ready")).isEmpty();
        assertThat(LoadReport.parse("1/2")).isEmpty();
        assertThat(LoadReport.parse("-1/2/9/ready")).isEmpty();
    }
}
