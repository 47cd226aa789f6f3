package org.cuminreach.decisions.admission;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class CallerTest {
    @Example
    void callerCannotClaimTheSourceOfAnother() {
        Caller caller = Caller.identify("shop@10.0.0.1", "10.0.0.66", "10.0.0.2");

        assertThat(caller.source()).isEqualTo("10.0.0.66");
    }

    @Example
    void callerNamedByLocalTargetIsTrusted() {
        Caller caller = Caller.identify("shop@10.0.0.1", "10.0.0.2", "10.0.0.2");

        assertThat(caller).isEqualTo(new Caller("10.0.0.1", "shop"));
    }

    @Property(seed = "41", tries = 200)
    void callerSurvivesRoundTripAndIsBounded(@ForAll String name) {
        Caller caller = Caller.identify(name, "10.0.0.66", "10.0.0.2");

        assertThat(Caller.parse(caller.text())).isEqualTo(caller);
        assertThat(caller.text().length()).isAtMost(129);
    }
}
