package org.cuminreach.node.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.cuminreach.decisions.idempotency.KeyDecision;
import org.cuminreach.decisions.idempotency.KeyMemory;
import org.cuminreach.node.http.CallAnswers;
import org.cuminreach.node.http.HttpSender;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.http.SendOutcome;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.runtime.http.HttpAnswer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Brings each call with an idempotency key to the home of its key, which runs it once and gives its
 * repetitions the first outcome.
 */
public final class KeyedCalls {
    private static final Logger LOGGER = LoggerFactory.getLogger(KeyedCalls.class);
    private static final int SHARDS = 16;
    private static final long MOST_BYTES = 32L * 1024 * 1024;
    private static final int LARGEST_KEPT_BODY_BYTES = 256 * 1024;
    private static final int OTHER_REQUEST_STATUS = 422;
    private static final long FULL_RETRY_MILLIS = 1_000;

    /** The first call of a key. */
    private static final class First {
        private final CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
    }

    private final String node;
    private final BooleanSupplier inContact;
    private final KeyHomeTable homes;
    private final HttpSender sender;
    private final List<KeyMemory<First>> shards = new ArrayList<>();
    private volatile long outOfContactMillis;

    private KeyedCalls(
            String node, BooleanSupplier inContact, KeyHomeTable homes, HttpSender sender) {
        this.node = node;
        this.inContact = inContact;
        this.homes = homes;
        this.sender = sender;
        long startedMillis = ProcessClock.wallMillis();
        for (int shard = 0; shard < SHARDS; shard++) {
            shards.add(KeyMemory.startedAt(MOST_BYTES / SHARDS, startedMillis));
        }
    }

    /**
     * Returns the keyed calls of a node that has just started.
     *
     * @param node name of the node
     * @param inContact tells whether a control vouches for this node's lease
     * @param homes the homes of keys
     * @param sender sends calls to the homes of their keys
     * @return the keyed calls
     */
    public static KeyedCalls create(
            String node, BooleanSupplier inContact, KeyHomeTable homes, HttpSender sender) {
        return new KeyedCalls(node, inContact, homes, sender);
    }

    /**
     * Lets time pass: forgets old keys, and notes when this node is out of contact.
     *
     * @param wallMillis present wall-clock time
     */
    public void tick(long wallMillis) {
        noteContact(wallMillis);
        for (KeyMemory<First> shard : shards) {
            synchronized (shard) {
                shard.expire(wallMillis);
            }
        }
    }

    /** Takes a call from a caller. */
    CompletableFuture<HttpAnswer> fromCaller(
            KeyedCall keyed, Supplier<CompletableFuture<HttpAnswer>> run) {
        Optional<KeyHomeTable.Home> home = home(keyed);
        if (home.isEmpty()) {
            return mayHaveRun("no_key_home");
        }
        if (home.get().node().equals(node)) {
            return atHome(keyed, home.get(), run);
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
                .thenApply(KeyedCalls::fromHome);
    }

    /** Takes a call that another node sent to this one as the home of its key. */
    CompletableFuture<HttpAnswer> fromNode(
            KeyedCall keyed, Supplier<CompletableFuture<HttpAnswer>> run) {
        return home(keyed)
                .filter(home -> home.node().equals(node))
                .map(home -> atHome(keyed, home, run))
                .orElseGet(() -> mayHaveRun("not_the_key_home"));
    }

    private Optional<KeyHomeTable.Home> home(KeyedCall keyed) {
        return homes.home(keyed.service(), keyed.key().text(), ProcessClock.wallMillis());
    }

    private CompletableFuture<HttpAnswer> atHome(
            KeyedCall keyed, KeyHomeTable.Home home, Supplier<CompletableFuture<HttpAnswer>> run) {
        long nowMillis = ProcessClock.wallMillis();
        noteContact(nowMillis);
        long sinceMillis = Math.max(home.sinceMillis(), outOfContactMillis);
        First first = new First();
        KeyMemory<First> shard = shard(keyed);
        KeyDecision<First> decision;
        synchronized (shard) {
            decision =
                    shard.arrive(keyed.key(), keyed.fingerprint(), first, sinceMillis, nowMillis);
        }
        LOGGER.info(
                "event=call_with_key request={} decision={}",
                keyed.headers().get(MeshHeaders.REQUEST_ID),
                decision.getClass().getSimpleName());
        return switch (decision) {
            case KeyDecision.Run<First> fresh -> runFirst(keyed, first, run);
            case KeyDecision.Known<First> known -> repeat(keyed, known.first());
            case KeyDecision.MayHaveRun<First> forgotten -> mayHaveRun(forgotten.reason());
            case KeyDecision.NotRun<First> refused ->
                    CompletableFuture.completedFuture(
                            CallAnswers.notRun(
                                    503, refused.reason(), Optional.of(FULL_RETRY_MILLIS)));
            case KeyDecision.OtherRequest<First> other ->
                    CompletableFuture.completedFuture(
                            CallAnswers.notRun(
                                    OTHER_REQUEST_STATUS,
                                    "key_of_another_request",
                                    Optional.empty()));
        };
    }

    private CompletableFuture<HttpAnswer> runFirst(
            KeyedCall keyed, First first, Supplier<CompletableFuture<HttpAnswer>> run) {
        CompletableFuture<HttpAnswer> result = new CompletableFuture<>();
        run.get()
                .whenComplete(
                        (answer, failure) -> {
                            HttpAnswer known =
                                    failure == null
                                            ? answer
                                            : CallAnswers.mayHaveRun("key_home_failed");
                            remember(keyed, first, known);
                            result.complete(copy(known));
                        });
        return result;
    }

    private void remember(KeyedCall keyed, First first, HttpAnswer answer) {
        boolean ran = !MeshHeaders.NOT_RUN.equals(answer.headers().get(MeshHeaders.OUTCOME));
        boolean fits = answer.body().length <= LARGEST_KEPT_BODY_BYTES;
        HttpAnswer kept = fits ? answer : CallAnswers.mayHaveRun("answer_too_large_to_keep");
        KeyMemory<First> shard = shard(keyed);
        synchronized (shard) {
            if (ran) {
                shard.ended(keyed.key(), kept.body().length);
            } else {
                shard.notRun(keyed.key());
            }
        }
        first.answer.complete(kept);
    }

    private static CompletableFuture<HttpAnswer> repeat(KeyedCall keyed, First first) {
        return first.answer
                .thenApply(answer -> copy(answer).setHeader(MeshHeaders.REPEATED, "true"))
                .completeOnTimeout(
                        CallAnswers.mayHaveRun("timeout"),
                        Math.max(1, keyed.remainingMillis()),
                        TimeUnit.MILLISECONDS);
    }

    private static HttpAnswer fromHome(SendOutcome sent) {
        return switch (sent) {
            case SendOutcome.Whole whole ->
                    whole.answer().headers().contains(MeshHeaders.OUTCOME)
                            ? new HttpAnswer(
                                    whole.answer().status(),
                                    MeshHeaders.endToEnd(whole.answer().headers()),
                                    whole.answer().body())
                            : CallAnswers.mayHaveRun("key_home_failed");
            case SendOutcome.NeverSent never -> CallAnswers.mayHaveRun("key_home_unreachable");
            case SendOutcome.Refused refused -> CallAnswers.mayHaveRun(refused.reason());
            case SendOutcome.Lost lost -> CallAnswers.mayHaveRun(lost.reason());
        };
    }

    private void noteContact(long wallMillis) {
        if (!inContact.getAsBoolean()) {
            outOfContactMillis = wallMillis;
        }
    }

    private KeyMemory<First> shard(KeyedCall keyed) {
        return shards.get(Math.floorMod(keyed.key().text().hashCode(), SHARDS));
    }

    private static HttpAnswer copy(HttpAnswer answer) {
        return new HttpAnswer(answer.status(), answer.headers().copy(), answer.body());
    }

    private static CompletableFuture<HttpAnswer> mayHaveRun(String reason) {
        return CompletableFuture.completedFuture(CallAnswers.mayHaveRun(reason));
    }
}
