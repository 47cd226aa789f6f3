package org.cuminreach.control.node;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cuminreach.wire.generated.Heartbeat;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Answers the heartbeats of one node, one for one. A heartbeat that asks whether the node's
 * configuration is current is answered with the version that a quorum has confirmed since. When
 * that takes long, the heartbeat is answered without it, and the next answer carries it.
 */
final class FreshnessResponder {
    private static final Logger LOGGER = LoggerFactory.getLogger(FreshnessResponder.class);

    /** Longest wait for a confirmation; a node takes a longer silence for a loss, with others. */
    private static final long MAX_WAIT_MILLIS = 350;

    private record Answer(long question, long version) {}

    private final Supplier<CompletableFuture<Long>> confirmedVersion;
    private Optional<Answer> latest = Optional.empty();

    FreshnessResponder(Supplier<CompletableFuture<Long>> confirmedVersion) {
        this.confirmedVersion = confirmedVersion;
    }

    /** Answers a heartbeat, now or as soon as a quorum has confirmed the version. */
    void answer(Heartbeat heartbeat, Consumer<Heartbeat> reply) {
        AtomicBoolean answered = new AtomicBoolean();
        if (!heartbeat.isSetFreshnessQuestion()) {
            answerOnce(heartbeat, reply, answered);
            return;
        }
        long question = heartbeat.getFreshnessQuestion();
        confirmedVersion
                .get()
                .whenComplete(
                        (version, failure) -> {
                            if (failure == null) {
                                record(new Answer(question, version));
                            } else {
                                LOGGER.debug("event=freshness_unconfirmed", failure);
                            }
                            answerOnce(heartbeat, reply, answered);
                        });
        CompletableFuture.delayedExecutor(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS, Runnable::run)
                .execute(() -> answerOnce(heartbeat, reply, answered));
    }

    private synchronized void record(Answer answer) {
        if (latest.isEmpty() || latest.get().question() < answer.question()) {
            latest = Optional.of(answer);
        }
    }

    private void answerOnce(
            Heartbeat heartbeat, Consumer<Heartbeat> reply, AtomicBoolean answered) {
        if (!answered.compareAndSet(false, true)) {
            return;
        }
        Heartbeat answer = new Heartbeat(heartbeat.getSentMillis());
        Optional<Answer> known;
        synchronized (this) {
            known = latest;
        }
        known.ifPresent(
                confirmed ->
                        answer.setAnsweredQuestion(confirmed.question())
                                .setConfirmedVersion(confirmed.version()));
        reply.accept(answer);
    }
}
