package org.cuminreach.decisions.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class TransferQueueTest {
    private static final LinkRate LINK = LinkRate.ofKilobitsPerSecond(2_310);
    private static final double ANY_WAIT = Double.MAX_VALUE;
    private static final long BODY_BYTES = 60_000;

    private final TransferQueue<String> queue = TransferQueue.ofLink(LINK);

    /** Guards against short calls that wait behind several long bodies on one link. */
    @Example
    void secondBodyWaitsForFirst() {
        assertThat(queue.offer("first", BODY_BYTES, ANY_WAIT, 0))
                .isEqualTo(new AdmissionOutcome.Run());
        assertThat(queue.offer("second", BODY_BYTES, ANY_WAIT, 0))
                .isEqualTo(new AdmissionOutcome.Queued());
        assertThat(queue.end("first", 250)).isEqualTo(Optional.of("second"));
    }

    /** Guards against bodies that are sent and then refused. */
    @Example
    void bodyWhoseTurnComesTooLateIsRefusedAtOnce() {
        queue.offer("first", BODY_BYTES, ANY_WAIT, 0);

        assertThat(queue.offer("second", BODY_BYTES, 200, 0))
                .isInstanceOf(AdmissionOutcome.Refused.class);
        assertThat(queue.offer("third", BODY_BYTES, 300, 0))
                .isEqualTo(new AdmissionOutcome.Queued());
    }

    @Example
    void refusalNamesTimeAfterWhichBodyIsTaken() {
        queue.offer("first", BODY_BYTES, ANY_WAIT, 0);
        AdmissionOutcome outcome = queue.offer("second", BODY_BYTES, 100, 0);

        long retryAfterMillis = ((AdmissionOutcome.Refused) outcome).retryAfterMillis();
        assertThat(queue.offer("second", BODY_BYTES, 100, retryAfterMillis))
                .isEqualTo(new AdmissionOutcome.Queued());
    }

    @Example
    void bodyThatTakesLongerThanExpectedKeepsTheLink() {
        queue.offer("first", BODY_BYTES, ANY_WAIT, 0);

        assertThat(queue.offer("second", BODY_BYTES, 0, 10_000))
                .isInstanceOf(AdmissionOutcome.Refused.class);
    }

    @Example
    void waitingTransferThatEndsLeavesQueue() {
        queue.offer("first", BODY_BYTES, ANY_WAIT, 0);
        queue.offer("second", BODY_BYTES, ANY_WAIT, 0);
        queue.offer("third", BODY_BYTES, ANY_WAIT, 0);

        assertThat(queue.end("second", 10)).isEqualTo(Optional.empty());
        assertThat(queue.end("first", 20)).isEqualTo(Optional.of("third"));
        assertThat(queue.end("third", 30)).isEqualTo(Optional.empty());
        assertThat(queue.waitMillis(30)).isEqualTo(0.0);
    }

    @Example
    void linkOfUnknownRateHasNoLongBodies() {
        assertThat(LinkRate.unknown().isLong(Long.MAX_VALUE)).isFalse();
        assertThat(LINK.isLong(BODY_BYTES)).isTrue();
        assertThat(LinkRate.ofKilobitsPerSecond(1_000_000).isLong(BODY_BYTES)).isFalse();
    }

    /** Guards against a turn that is lost, or given to two bodies. */
    @Property(seed = "5301", tries = 200)
    void exactlyOneBodyIsOnItsWayWhileAnyIsKnown(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        TransferQueue<Integer> transfers = TransferQueue.ofLink(LINK);
        Deque<Integer> known = new ArrayDeque<>();
        Optional<Integer> running = Optional.empty();
        for (int step = 0; step < 200; step++) {
            if (random.nextInt(3) > 0 || known.isEmpty()) {
                AdmissionOutcome outcome =
                        transfers.offer(step, 1 + random.nextInt(90_000), 1_500, step * 10L);
                if (outcome instanceof AdmissionOutcome.Run) {
                    assertThat(running).isEqualTo(Optional.empty());
                    running = Optional.of(step);
                }
                if (!(outcome instanceof AdmissionOutcome.Refused)) {
                    known.add(step);
                }
            } else {
                Integer ended = random.nextBoolean() ? known.pollFirst() : known.pollLast();
                Optional<Integer> next = transfers.end(ended, step * 10L);
                if (running.equals(Optional.of(ended))) {
                    running = next;
                    assertThat(next).isEqualTo(Optional.ofNullable(known.peekFirst()));
                } else {
                    assertThat(next).isEqualTo(Optional.empty());
                }
            }
            assertThat(running.isPresent()).isEqualTo(!known.isEmpty());
        }
    }
}
