package org.cuminreach.node.target;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import org.cuminreach.decisions.routing.StatedLoad;
import org.cuminreach.decisions.routing.WorkPace;

class TargetPaceTest {
    private final TargetPace pace = new TargetPace();

    @Example
    void latestStatementIsReportedWithItsAge() {
        pace.record("start-1", StatedLoad.parse("4,2,4,250"), 1_000);
        pace.record("start-1", StatedLoad.parse("garbled"), 1_050);
        pace.record("start-1", StatedLoad.parse(""), 1_060);

        assertThat(pace.at(1_100)).hasValue(new WorkPace(250, 100));
        assertThat(pace.at(1_500)).isEmpty();
    }

    @Example
    void targetWithoutFourthFigureTellsNoPace() {
        pace.record("start-1", StatedLoad.parse("4,2,4,250"), 1_000);
        pace.record("start-1", StatedLoad.parse("4,2,4"), 1_010);

        assertThat(pace.at(1_020)).isEmpty();
    }

    @Example
    void newStartForgetsTheStatement() {
        pace.record("start-1", StatedLoad.parse("4,2,4,250"), 1_000);
        pace.reset();

        assertThat(pace.at(1_001)).isEmpty();
    }
}
