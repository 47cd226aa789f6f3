package org.cuminreach.node.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.cuminreach.decisions.idempotency.IdempotencyKeyStore;
import org.cuminreach.decisions.idempotency.KeyDecision;
import org.cuminreach.node.http.CallAnswers;
import org.cuminreach.node.http.HttpSender;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.http.SendOutcome;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.runtime.http.HttpAnswer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Forwards each call with an idempotency key to the home node of the key, which runs the call once
 * and returns the first outcome to its repetitions.
 */
public final class CallDeduplicator {
    private static final Logger LOGGER = LoggerFactory.getLogger(CallDeduplicator.class);
    private static final int SHARDS = 16;
    private static final long MAX_BYTES = 32L * 1024 * 1024;
    private static final int MAX_STORED_BODY_BYTES = 256 * 1024;
    private static final int OTHER_REQUEST_STATUS = 422;
    private static final long NOT_RUN_RETRY_MILLIS = 1_000;

    /** First call with a key. */
    private static final class FirstCall {
        private final CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
    }

    private final String node;
    private final BooleanSupplier connectedToControl;
    private final KeyHomeTable homes;
    private final HttpSender sender;
    private final List<IdempotencyKeyStore<FirstCall>> shards = new ArrayList<>();
    private volatile long lastDisconnectedMillis;

    private CallDeduplicator(
            String node,
            BooleanSupplier connectedToControl,
            KeyHomeTable homes,
            HttpSender sender) {
        this.node = node;
        this.connectedToControl = connectedToControl;
        this.homes = homes;
        this.sender = sender;
        long startMillis = ProcessClock.wallMillis();
        for (int shard = 0; shard < SHARDS; shard++) {
            shards.add(IdempotencyKeyStore.startedAt(MAX_BYTES / SHARDS, startMillis));
        }
    }

    /**
     * Creates the deduplicator of a node that has just started.
     *
     * @param node name of the node
     * @param connectedToControl tells whether a control renews this node's lease
     * @param homes home nodes of keys
     * @param sender forwards calls to home nodes
     * @return the deduplicator
     */
    public static CallDeduplicator create(
            String node,
            BooleanSupplier connectedToControl,
            KeyHomeTable homes,
            HttpSender sender) {
        return new CallDeduplicator(node, connectedToControl, homes, sender);
    }

    /**
     * Removes expired keys, and records when this node is disconnected from the controls.
     *
     * @param wallMillis current wall-clock time
     */
    public void onTimer(long wallMillis) {
        recordDisconnection(wallMillis);
        for (IdempotencyKeyStore<FirstCall> shard : shards) {
            synchronized (shard) {
                shard.expire(wallMillis);
            }
        }
    }

    /** Handles a call from a caller. */
    CompletableFuture<HttpAnswer> handleFromCaller(
            KeyedCall keyed, Supplier<CompletableFuture<HttpAnswer>> run) {
        Optional<KeyHomeTable.Home> home = home(keyed);
        if (home.isEmpty()) {
            LOGGER.info(
                    "event=key_has_no_home request={} service={}",
                    keyed.headers().get(MeshHeaders.REQUEST_ID),
                    keyed.service());
            return mayHaveRun("no_key_home");
        }
        if (home.get().node().equals(node)) {
            return handleAtHome(keyed, home.get(), run);
        }
        LOGGER.info(
                "event=call_sent_to_key_home request={} home={} reason=idempotency_key",
                keyed.headers().get(MeshHeaders.REQUEST_ID),
                home.get().node());
        return sender.send(
                        home.get().inbound(),
                        keyed.call(),
                        keyed.headers().set(MeshHeaders.KEY_HOME, home.get().node()),
                        keyed.remainingMillis())
                .thenApply(CallDeduplicator::toAnswer);
    }

    /** Handles a call that another node forwarded to this home node of its key. */
    CompletableFuture<HttpAnswer> handleFromNode(
            KeyedCall keyed, Supplier<CompletableFuture<HttpAnswer>> run) {
        return home(keyed)
                .filter(home -> home.node().equals(node))
                .map(home -> handleAtHome(keyed, home, run))
                .orElseGet(() -> mayHaveRun("not_the_key_home"));
    }

    private Optional<KeyHomeTable.Home> home(KeyedCall keyed) {
        return homes.home(
                keyed.service(), keyed.key().text(), keyed.filter(), ProcessClock.wallMillis());
    }

    private CompletableFuture<HttpAnswer> handleAtHome(
            KeyedCall keyed, KeyHomeTable.Home home, Supplier<CompletableFuture<HttpAnswer>> run) {
        long nowMillis = ProcessClock.wallMillis();
        recordDisconnection(nowMillis);
        long sinceMillis =
                Math.max(
                        Math.max(home.sinceMillis(), keyed.filterSinceMillis()),
                        lastDisconnectedMillis);
        FirstCall first = new FirstCall();
        IdempotencyKeyStore<FirstCall> shard = shard(keyed);
        KeyDecision<FirstCall> decision;
        synchronized (shard) {
            decision =
                    shard.register(keyed.key(), keyed.fingerprint(), first, sinceMillis, nowMillis);
        }
        LOGGER.info(
                "event=idempotency_key_checked request={} decision={}",
                keyed.headers().get(MeshHeaders.REQUEST_ID),
                decision.getClass().getSimpleName());
        return switch (decision) {
            case KeyDecision.Run<FirstCall> fresh -> runFirst(keyed, first, run);
            case KeyDecision.Known<FirstCall> known -> repeatAnswer(keyed, known.first());
            case KeyDecision.MayHaveRun<FirstCall> forgotten -> mayHaveRun(forgotten.reason());
            case KeyDecision.NotRun<FirstCall> refused ->
                    CompletableFuture.completedFuture(
                            CallAnswers.notRun(
                                    503, refused.reason(), Optional.of(NOT_RUN_RETRY_MILLIS)));
            case KeyDecision.OtherRequest<FirstCall> other ->
                    CompletableFuture.completedFuture(
                            CallAnswers.notRun(
                                    OTHER_REQUEST_STATUS,
                                    "key_of_another_request",
                                    Optional.empty()));
        };
    }

    private CompletableFuture<HttpAnswer> runFirst(
            KeyedCall keyed, FirstCall first, Supplier<CompletableFuture<HttpAnswer>> run) {
        CompletableFuture<HttpAnswer> future = new CompletableFuture<>();
        run.get()
                .whenComplete(
                        (answer, failure) -> {
                            HttpAnswer result =
                                    failure == null
                                            ? answer
                                            : CallAnswers.mayHaveRun("key_home_failed");
                            store(keyed, first, result);
                            future.complete(copy(result));
                        });
        return future;
    }

    private void store(KeyedCall keyed, FirstCall first, HttpAnswer answer) {
        boolean ran = !MeshHeaders.NOT_RUN.equals(answer.headers().get(MeshHeaders.OUTCOME));
        boolean fits = answer.body().length <= MAX_STORED_BODY_BYTES;
        HttpAnswer stored = fits ? answer : CallAnswers.mayHaveRun("answer_too_large_to_keep");
        IdempotencyKeyStore<FirstCall> shard = shard(keyed);
        synchronized (shard) {
            if (ran) {
                shard.complete(keyed.key(), stored.body().length);
            } else {
                shard.release(keyed.key());
            }
        }
        first.answer.complete(stored);
    }

    private static CompletableFuture<HttpAnswer> repeatAnswer(KeyedCall keyed, FirstCall first) {
        return first.answer
                .thenApply(answer -> copy(answer).setHeader(MeshHeaders.REPEATED, "true"))
                .completeOnTimeout(
                        CallAnswers.mayHaveRun("timeout"),
                        Math.max(1, keyed.remainingMillis()),
                        TimeUnit.MILLISECONDS);
    }

    private static HttpAnswer toAnswer(SendOutcome sent) {
        return switch (sent) {
            case SendOutcome.Completed completed ->
                    completed.answer().headers().contains(MeshHeaders.OUTCOME)
                            ? new HttpAnswer(
                                    completed.answer().status(),
                                    MeshHeaders.endToEnd(completed.answer().headers()),
                                    completed.answer().body())
                            : CallAnswers.mayHaveRun("key_home_failed");
            case SendOutcome.NotSent notSent -> CallAnswers.mayHaveRun("key_home_unreachable");
            case SendOutcome.BodyNotSent notSent -> CallAnswers.mayHaveRun("key_home_unreachable");
            case SendOutcome.Refused refused -> CallAnswers.mayHaveRun(refused.reason());
            case SendOutcome.Lost lost -> CallAnswers.mayHaveRun(lost.reason());
        };
    }

    private void recordDisconnection(long wallMillis) {
        if (!connectedToControl.getAsBoolean()) {
            lastDisconnectedMillis = wallMillis;
        }
    }

    private IdempotencyKeyStore<FirstCall> shard(KeyedCall keyed) {
        return shards.get(Math.floorMod(keyed.key().text().hashCode(), SHARDS));
    }

    private static HttpAnswer copy(HttpAnswer answer) {
        return new HttpAnswer(answer.status(), answer.headers().copy(), answer.body());
    }

    private static CompletableFuture<HttpAnswer> mayHaveRun(String reason) {
        return CompletableFuture.completedFuture(CallAnswers.mayHaveRun(reason));
    }
}
