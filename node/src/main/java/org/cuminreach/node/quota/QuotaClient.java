package org.cuminreach.node.quota;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cuminreach.decisions.quota.QuotaAnswer;
import org.cuminreach.decisions.quota.QuotaOutcome;
import org.cuminreach.decisions.quota.QuotaPool;
import org.cuminreach.decisions.quota.QuotaToken;
import org.cuminreach.document.Tenant;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.wire.MalformedFrameException;
import org.cuminreach.wire.QuotaCodec;
import org.cuminreach.wire.frame.FrameConnection;
import org.cuminreach.wire.frame.FrameListener;
import org.cuminreach.wire.generated.Frame;
import org.cuminreach.wire.generated.QuotaGrant;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Asks the control of this node for tokens for the calls of tenants with quotas. Without a control,
 * or without its answer in time, no such call passes. Thread-safe.
 */
public final class QuotaClient {
    private static final Logger LOGGER = LoggerFactory.getLogger(QuotaClient.class);

    /** Calls that arrive within this time of a question share the next one. */
    private static final long BATCH_MILLIS = 2;

    private final ScheduledExecutorService timer;
    private final QuotaPool<CompletableFuture<QuotaOutcome>> pool = QuotaPool.create();
    private Optional<FrameConnection> control = Optional.empty();
    private long askedMillis;
    private boolean askScheduled;
    private long passed;
    private long overQuota;
    private long withoutGrant;

    private QuotaClient(ScheduledExecutorService timer) {
        this.timer = timer;
    }

    /**
     * Returns a client without a control.
     *
     * @param timer schedules questions that are combined
     * @param registry registers its metrics
     * @return the client
     */
    public static QuotaClient create(ScheduledExecutorService timer, PrometheusRegistry registry) {
        QuotaClient created = new QuotaClient(timer);
        QuotaMetrics.register(registry, created);
        return created;
    }

    /**
     * Wraps the listener of a connection to a control. The client uses the connection from the
     * control's welcome on.
     *
     * @param listener receives all frames but the answers to this client
     * @return the wrapped listener
     */
    public FrameListener wrap(FrameListener listener) {
        return new SessionListener(listener);
    }

    /**
     * Draws a token for a call.
     *
     * @param tenant tenant of the call, which has a quota
     * @param maxWaitMillis longest time that the call may wait for the control
     * @return completes with whether the call passes, never with {@link QuotaOutcome.Waits}
     */
    public CompletableFuture<QuotaOutcome> draw(Tenant tenant, long maxWaitMillis) {
        long nowMillis = ProcessClock.monotonicMillis();
        CompletableFuture<QuotaOutcome> result = new CompletableFuture<>();
        QuotaOutcome outcome;
        synchronized (this) {
            outcome = pool.offer(tenant.name(), result, maxWaitMillis, nowMillis);
            if (outcome instanceof QuotaOutcome.Waits) {
                ask(nowMillis);
                return result;
            }
            count(outcome);
        }
        result.complete(outcome);
        return result;
    }

    /**
     * Gives back the token of a call that has not run.
     *
     * @param token the token
     */
    public void giveBack(QuotaToken token) {
        Optional<QuotaPool.Decided<CompletableFuture<QuotaOutcome>>> next;
        synchronized (this) {
            passed--;
            next = pool.giveBack(token, ProcessClock.monotonicMillis());
            next.ifPresent(decided -> count(decided.outcome()));
        }
        next.ifPresent(decided -> decided.call().complete(decided.outcome()));
    }

    /**
     * Refuses calls that have waited too long, and asks for those that no control was asked for.
     *
     * @param nowMillis current time
     */
    public void onTimer(long nowMillis) {
        List<QuotaPool.Decided<CompletableFuture<QuotaOutcome>>> expired;
        synchronized (this) {
            expired = pool.expire(nowMillis);
            expired.forEach(decided -> count(decided.outcome()));
            ask(nowMillis);
        }
        expired.forEach(decided -> decided.call().complete(decided.outcome()));
    }

    /**
     * Returns the calls that passed with a token.
     *
     * @return calls since the start, without those whose token was given back
     */
    public synchronized long passed() {
        return passed;
    }

    /**
     * Returns the calls that were beyond the quota of their tenant.
     *
     * @return refused calls since the start
     */
    public synchronized long overQuota() {
        return overQuota;
    }

    /**
     * Returns the calls for which no control answered in time.
     *
     * @return refused calls since the start
     */
    public synchronized long withoutGrant() {
        return withoutGrant;
    }

    /**
     * Returns the calls that wait for the control.
     *
     * @return waiting calls
     */
    public synchronized int waiting() {
        return pool.waiting();
    }

    private void ask(long nowMillis) {
        if (control.isEmpty() || askScheduled) {
            return;
        }
        if (nowMillis - askedMillis < BATCH_MILLIS && !timer.isShutdown()) {
            askScheduled = true;
            timer.schedule(this::askScheduled, BATCH_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        Optional<QuotaPool.Question> question = pool.nextQuestion(nowMillis);
        if (question.isPresent()) {
            askedMillis = nowMillis;
            if (!control.get().send(QuotaCodec.toFrame(question.get()))) {
                LOGGER.warn("event=quota_question_dropped question={}", question.get().number());
            }
        }
    }

    private synchronized void askScheduled() {
        askScheduled = false;
        ask(ProcessClock.monotonicMillis());
    }

    private void receive(FrameConnection from, QuotaGrant grant) throws MalformedFrameException {
        List<QuotaAnswer> answers = QuotaCodec.toAnswers(grant);
        long nowMillis = ProcessClock.monotonicMillis();
        for (QuotaAnswer answer : answers) {
            List<QuotaPool.Decided<CompletableFuture<QuotaOutcome>>> decided;
            synchronized (this) {
                if (!control.equals(Optional.of(from))) {
                    return;
                }
                decided = pool.answer(grant.getCorrelation(), answer, nowMillis);
                decided.forEach(each -> count(each.outcome()));
            }
            decided.forEach(each -> each.call().complete(each.outcome()));
        }
    }

    private synchronized void startSession(FrameConnection welcomed) {
        control = Optional.of(welcomed);
        pool.startSession();
        ask(ProcessClock.monotonicMillis());
    }

    private synchronized void endSession(FrameConnection closed) {
        if (control.equals(Optional.of(closed))) {
            control = Optional.empty();
            pool.startSession();
        }
    }

    private void count(QuotaOutcome outcome) {
        switch (outcome) {
            case QuotaOutcome.Passes passes -> passed++;
            case QuotaOutcome.OverQuota over -> overQuota++;
            case QuotaOutcome.NoGrant none -> withoutGrant++;
            case QuotaOutcome.Waits waits ->
                    throw new IllegalStateException("a waiting call is not decided");
        }
    }

    private final class SessionListener implements FrameListener {
        private final FrameListener next;

        SessionListener(FrameListener next) {
            this.next = next;
        }

        @Override
        public void opened(FrameConnection connection) {
            next.opened(connection);
        }

        @Override
        public void received(FrameConnection connection, Frame frame)
                throws MalformedFrameException {
            if (frame.getSetField() == Frame._Fields.QUOTA_GRANT) {
                receive(connection, frame.getQuotaGrant());
                return;
            }
            next.received(connection, frame);
            if (frame.getSetField() == Frame._Fields.NODE_WELCOME && connection.isOpen()) {
                startSession(connection);
            } else if (frame.getSetField() == Frame._Fields.NODE_REDIRECT) {
                endSession(connection);
            }
        }

        @Override
        public void closed(FrameConnection connection) {
            endSession(connection);
            next.closed(connection);
        }
    }
}
