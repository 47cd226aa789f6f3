package org.cuminreach.decisions.distribution;

import static com.google.common.truth.Truth.assertThat;

import java.util.PriorityQueue;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class AdmissionBucketTest {
    private static final int RATE = 500;
    private static final int BURST = 100;
    private static final long MAX_WAIT_MILLIS = 4_000;

    /** Nodes that wait as requested are admitted in time, and never above the rate. */
    @Property(seed = "121", tries = 100)
    void reconnectingNodesAreAdmittedInTimeAndWithinRate(
            @ForAll @IntRange(min = 1, max = 2_300) int nodes, @ForAll long seed) {
        AdmissionBucket bucket = AdmissionBucket.full(RATE, BURST, MAX_WAIT_MILLIS, 0);
        Random random = new Random(seed);
        PriorityQueue<Long> arrivals = new PriorityQueue<>();
        for (int node = 0; node < nodes; node++) {
            arrivals.add((long) random.nextInt(50));
        }
        int admitted = 0;
        long lastMillis = 0;
        while (!arrivals.isEmpty()) {
            lastMillis = arrivals.poll();
            switch (bucket.tryAdmit(lastMillis)) {
                case NodeAdmission.Admitted yes -> admitted++;
                case NodeAdmission.RetryLater later -> {
                    assertThat(later.waitMillis())
                            .isIn(com.google.common.collect.Range.closed(1L, MAX_WAIT_MILLIS));
                    arrivals.add(lastMillis + later.waitMillis());
                }
            }
            assertThat((double) admitted).isAtMost(BURST + RATE * lastMillis / 1_000.0 + 1);
        }
        double fairMillis = Math.max(0, nodes - BURST) * 1_000.0 / RATE;
        assertThat((double) lastMillis).isAtMost(50 + 1.2 * fairMillis + MAX_WAIT_MILLIS / 4.0);
    }
}
