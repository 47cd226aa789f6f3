package org.cuminreach.control.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.cuminreach.wire.generated.Heartbeat;

class FreshnessResponderTest {
    private static final long WAIT_SECONDS = 20;
    private static final long SPACING_MILLIS = 100;

    private final Queue<CompletableFuture<Long>> confirmations = new ArrayDeque<>();
    private final BlockingQueue<Heartbeat> replies = new LinkedBlockingQueue<>();
    private final FreshnessResponder responder =
            new FreshnessResponder(
                    () -> {
                        CompletableFuture<Long> confirmation = new CompletableFuture<>();
                        confirmations.add(confirmation);
                        return confirmation;
                    });

    private Heartbeat nextReply() throws InterruptedException {
        return replies.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    @Example
    void heartbeatWithoutQuestionIsAnsweredAtOnce() {
        responder.answer(new Heartbeat(5), replies::add);

        assertThat(replies).containsExactly(new Heartbeat(5));
        assertThat(confirmations).isEmpty();
    }

    @Example
    void answerCarriesTheConfirmedVersion() {
        responder.answer(new Heartbeat(5).setFreshnessQuestion(3), replies::add);
        assertThat(replies).isEmpty();
        confirmations.remove().complete(8L);

        assertThat(replies)
                .containsExactly(new Heartbeat(5).setAnsweredQuestion(3).setConfirmedVersion(8));
    }

    @Example
    void slowConfirmationTravelsWithTheNextAnswer() throws InterruptedException {
        responder.answer(new Heartbeat(5).setFreshnessQuestion(3), replies::add);
        assertThat(nextReply()).isEqualTo(new Heartbeat(5));
        confirmations.remove().complete(8L);
        assertThat(replies).isEmpty();

        responder.answer(new Heartbeat(6), replies::add);
        assertThat(replies)
                .containsExactly(new Heartbeat(6).setAnsweredQuestion(3).setConfirmedVersion(8));
    }

    @Example
    void controlWithoutMajorityAnswersNoQuestion() {
        responder.answer(new Heartbeat(5).setFreshnessQuestion(3), replies::add);
        confirmations.remove().completeExceptionally(new IllegalStateException("no majority"));

        assertThat(replies).containsExactly(new Heartbeat(5));
    }

    @Example
    void repeatedConfirmationsLeaveTimeBetweenThem() throws Exception {
        List<Long> startedNanos = new ArrayList<>();
        ConfirmationBatcher batcher =
                ConfirmationBatcher.spaced(
                        () -> {
                            startedNanos.add(System.nanoTime());
                            return CompletableFuture.completedFuture(1L);
                        },
                        SPACING_MILLIS);
        batcher.request().get(WAIT_SECONDS, TimeUnit.SECONDS);
        List<CompletableFuture<Long>> waiting = new ArrayList<>();
        for (int request = 0; request < 50; request++) {
            waiting.add(batcher.request());
        }
        for (CompletableFuture<Long> request : waiting) {
            request.get(WAIT_SECONDS, TimeUnit.SECONDS);
        }

        assertThat(startedNanos).hasSize(2);
        assertThat(startedNanos.get(1) - startedNanos.get(0))
                .isAtLeast(TimeUnit.MILLISECONDS.toNanos(SPACING_MILLIS - 1));
    }
}
