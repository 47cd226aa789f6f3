package org.cuminreach.node.peer;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import net.jqwik.api.Example;
import org.cuminreach.decisions.routing.TargetExperience;
import org.cuminreach.decisions.routing.TargetStanding;
import org.cuminreach.decisions.routing.TargetView;
import org.cuminreach.node.http.CallAnswers;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.http.SendOutcome;
import org.cuminreach.settings.Address;

class TargetAnswersTest {
    private static final int SLOTS = 4;

    @Example
    void targetThatAnotherNodeAnswersForIsOutOfReach() {
        assertThat(standingAfter(MeshHeaders.OTHER_NODE)).isEqualTo(TargetStanding.UNREACHABLE);
        assertThat(standingAfter(MeshHeaders.OTHER_TARGET)).isEqualTo(TargetStanding.UNREACHABLE);
        assertThat(standingAfter(MeshHeaders.NO_TARGET)).isEqualTo(TargetStanding.UNREACHABLE);
    }

    @Example
    void targetThatIsFullIsOnlyPushedBack() {
        assertThat(standingAfter("queue_full")).isEqualTo(TargetStanding.PUSHED_BACK);
    }

    private static TargetStanding standingAfter(String reason) {
        TargetExperience experience = TargetExperience.warm(SLOTS);
        TargetView target =
                new TargetView("n", "i", "near", new Address("10.0.0.1", 80), SLOTS, experience);
        experience.begun(0);
        SendOutcome refused =
                new SendOutcome.Completed(CallAnswers.notRun(503, reason, Optional.of(10L)));
        TargetAnswers.note(target, refused, Optional.empty(), 1, 1);
        return experience.standing(2);
    }
}
