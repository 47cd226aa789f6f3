package org.cuminreach.decisions.routing;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import org.cuminreach.settings.Address;

class TargetViewTest {
    private static final long DAY_MILLIS = 86_400_000;

    @Example
    void startThatLeftIsAvoidedForGood() {
        TargetView target = target("start-1");
        target.recordLeaving(0);

        assertThat(target.statistics().status(DAY_MILLIS)).isEqualTo(TargetStatus.DRAINING);
    }

    @Example
    void targetWhoseStartsCannotBeToldApartIsNotAvoidedForGood() {
        TargetView target = target("node-1");
        target.recordLeaving(0);

        assertThat(target.statistics().status(10_000)).isEqualTo(TargetStatus.DRAINING);
        assertThat(target.statistics().status(DAY_MILLIS)).isEqualTo(TargetStatus.USABLE);
    }

    private static TargetView target(String instance) {
        return new TargetView(
                "node-1",
                instance,
                "nidaros",
                new Address("127.0.0.1", 7_000),
                4,
                TargetStatistics.warm(4));
    }
}
