package org.cuminreach.decisions.admission;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;

class TransferPaceTest {
    private static final LinkRate LINK = LinkRate.ofKilobitsPerSecond(2_310);
    private static final int BODY_BYTES = 60_000;

    private final TransferPace pace = TransferPace.ofLink(LINK);

    /** Guards against short calls that wait behind a body of the same node. */
    @Example
    void bodyLeavesShareOfLinkToOtherCalls() {
        int sent = 0;
        long now = 0;
        int mostAtOnce = 0;
        while (sent < BODY_BYTES) {
            int piece = pace.take(BODY_BYTES - sent, now);
            sent += piece;
            mostAtOnce = Math.max(mostAtOnce, piece);
            now += piece == 0 ? pace.waitMillis(now) : 0;
        }

        double linkMillis = BODY_BYTES / LINK.bytesPerMilli();
        assertThat((double) now).isAtLeast(1.05 * linkMillis);
        assertThat((double) now).isAtMost(1.4 * linkMillis);
        assertThat(mostAtOnce / LINK.bytesPerMilli()).isAtMost(10.0);
    }

    @Example
    void twoBodiesShareThePace() {
        int sent = 0;
        long now = 0;
        while (sent < 2 * BODY_BYTES) {
            int first = pace.take(BODY_BYTES, now);
            int second = pace.take(BODY_BYTES, now);
            sent += first + second;
            now += pace.waitMillis(now);
        }

        assertThat((double) now).isAtLeast(2.1 * BODY_BYTES / LINK.bytesPerMilli());
    }

    @Example
    void pauseIsNotMadeUpFor() {
        pace.take(BODY_BYTES, 0);

        assertThat(pace.take(BODY_BYTES, 10_000)).isGreaterThan(0);
        assertThat(pace.take(BODY_BYTES, 10_000)).isEqualTo(0);
    }
}
