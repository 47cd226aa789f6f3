package org.cuminreach.node.peer;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import net.jqwik.api.Example;
import org.cuminreach.decisions.routing.TargetStatistics;
import org.cuminreach.decisions.routing.TargetStatus;
import org.cuminreach.decisions.routing.TargetView;
import org.cuminreach.node.http.CallAnswers;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.http.SendOutcome;
import org.cuminreach.settings.Address;

class TargetFeedbackTest {
    private static final int SLOTS = 4;

    @Example
    void targetReportedGoneByItsNodeIsUnreachable() {
        assertThat(statusAfter(MeshHeaders.OTHER_NODE)).isEqualTo(TargetStatus.UNREACHABLE);
        assertThat(statusAfter(MeshHeaders.OTHER_TARGET)).isEqualTo(TargetStatus.UNREACHABLE);
        assertThat(statusAfter(MeshHeaders.NO_TARGET)).isEqualTo(TargetStatus.UNREACHABLE);
    }

    @Example
    void fullTargetIsOnlyPushedBack() {
        assertThat(statusAfter("queue_full")).isEqualTo(TargetStatus.PUSHED_BACK);
    }

    private static TargetStatus statusAfter(String reason) {
        TargetStatistics statistics = TargetStatistics.warm(SLOTS);
        TargetView target =
                new TargetView("n", "i", "local", new Address("10.0.0.1", 80), SLOTS, statistics);
        statistics.recordSent(0);
        SendOutcome refused =
                new SendOutcome.Completed(CallAnswers.notRun(503, reason, Optional.of(10L)));
        TargetFeedback.record(target, refused, Optional.empty(), 1, 1);
        return statistics.status(2);
    }
}
