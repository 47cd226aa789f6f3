package org.cuminreach.node.peer;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.cuminreach.decisions.membership.Announcement;
import org.cuminreach.decisions.membership.TargetPhase;
import org.cuminreach.decisions.routing.LoadReport;
import org.cuminreach.decisions.routing.TargetStatus;
import org.cuminreach.decisions.routing.TargetView;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.settings.Address;

class MeshViewTest {
    private static final String START = "start-1";

    private final MeshView view = MeshView.empty();

    @Example
    void leavingTargetIsNotUsedAgainAfterRestartOfItsNode() {
        view.merge(List.of(ready(1, START)));
        target().recordLeaving(0);
        view.merge(List.of(ready(1, START).withPhase(TargetPhase.GONE, 2)));

        view.merge(List.of(ready(2, START)));

        assertThat(target().statistics().status(0)).isEqualTo(TargetStatus.DRAINING);
    }

    @Example
    void laterStartOfLeavingTargetIsUsed() {
        view.merge(List.of(ready(1, START)));
        target().recordLeaving(0);

        view.merge(List.of(ready(2, "start-2")));

        assertThat(target().statistics().status(0)).isEqualTo(TargetStatus.USABLE);
    }

    /** The end of the earlier process is not always heard of, for example during a partition. */
    @Example
    void targetIsUsedAgainAfterPlannedRestartOfItsNode() {
        view.merge(List.of(ready(1, START)));
        target().statistics().recordLoadReport(new LoadReport(0, 0, 4, true), 0);

        view.merge(List.of(ready(2, START)));

        assertThat(target().statistics().status(0)).isEqualTo(TargetStatus.USABLE);
    }

    /** The retry budget of a node depends on this number. */
    @Example
    void targetThatIsGoneIsNotCountedAsReady() {
        view.merge(List.of(ready(1, START)));
        assertThat(view.readyCount()).isEqualTo(1);

        view.merge(List.of(ready(1, START).withPhase(TargetPhase.GONE, 2)));

        assertThat(view.readyCount()).isEqualTo(0);
    }

    @Example
    void coldTimeOfAnnouncementIsTakenUpOnlyWhereServiceHasLimit() {
        view.merge(List.of(cold(1, 4_000)));
        assertThat(view.coldCount(ProcessClock.monotonicMillis())).isEqualTo(0);

        view.setColdRates(service -> 9.1);
        view.merge(List.of(cold(2, 60_000)));
        assertThat(view.coldCount(ProcessClock.monotonicMillis())).isEqualTo(1);

        view.merge(List.of(cold(3, 0)));
        assertThat(view.coldCount(ProcessClock.monotonicMillis())).isEqualTo(0);
    }

    private static Announcement cold(long sequence, long coldMillis) {
        return new Announcement(
                "node-1",
                1,
                sequence,
                "arkiv",
                "1",
                "nidaros",
                new Address("127.0.0.1", 7_000),
                4,
                TargetPhase.READY,
                START,
                coldMillis);
    }

    private TargetView target() {
        return view.targets("arkiv", "1").getFirst();
    }

    private static Announcement ready(long incarnation, String instance) {
        return new Announcement(
                "node-1",
                incarnation,
                1,
                "arkiv",
                "1",
                "nidaros",
                new Address("127.0.0.1", 7_000),
                4,
                TargetPhase.READY,
                instance);
    }
}
