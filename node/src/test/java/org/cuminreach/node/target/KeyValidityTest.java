package org.cuminreach.node.target;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import net.jqwik.api.Example;
import org.cuminreach.decisions.tenant.ClockReading;
import org.cuminreach.node.http.MeshHeaders;

class KeyValidityTest {
    private static final ClockReading ARRIVED = new ClockReading(1_000, 1_800_000_000_000L);

    private static ClockReading after(long steadyMillis, long wallMillis) {
        return new ClockReading(
                ARRIVED.steadyMillis() + steadyMillis, ARRIVED.wallMillis() + wallMillis);
    }

    @Example
    void keyEndsWhileTheCallWaits() {
        KeyValidity validity = new KeyValidity(ARRIVED, 2_000);

        assertThat(validity.holds(after(1_999, 1_999))).isTrue();
        assertThat(validity.holds(after(2_000, 2_000))).isFalse();
    }

    @Example
    void suspensionAndStepsOfTheTimeOfDayDoNotStretchIt() {
        KeyValidity validity = new KeyValidity(ARRIVED, 2_000);

        assertThat(validity.holds(after(100, 5_100))).isFalse();
        assertThat(validity.holds(after(1_000, -4_000))).isFalse();
        assertThat(validity.holds(after(1_000, 4_000))).isFalse();
    }

    @Example
    void callWithoutBoundIsValidForAnyTime() {
        KeyValidity validity = KeyValidity.of(new DefaultHttpHeaders());

        assertThat(validity.holds(after(1_000_000, -1_000_000))).isTrue();
    }

    @Example
    void unreadableTimeProvesNothing() {
        KeyValidity validity =
                KeyValidity.of(new DefaultHttpHeaders().set(MeshHeaders.KEY_VALID_MILLIS, "soon"));

        assertThat(validity.holdsNow()).isFalse();
    }
}
