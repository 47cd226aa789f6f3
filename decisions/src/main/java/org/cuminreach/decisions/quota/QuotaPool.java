package org.cuminreach.decisions.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Calls of tenants with quotas at one node, each of which needs a token of the control. Calls wait
 * for the answer; they do not wait for the refill of a quota. After a refusal further calls of the
 * tenant are refused here for a short time. Only tenants with recent calls take up memory. Not
 * thread-safe.
 *
 * @param <C> type of a call
 */
public final class QuotaPool<C> {
    /** Time after which a call without an answer of a control may come again. */
    static final long NO_GRANT_RETRY_MILLIS = 300;

    /**
     * Longest time for which a refusal is applied to further calls. The bucket of a control keeps
     * what it gains in this time.
     */
    static final long MAX_THROTTLE_MILLIS = 100;

    /** Questions whose answers are still accepted; older ones have been lost. */
    private static final int MAX_OPEN_QUESTIONS = 1_024;

    /**
     * A call whose wait is over.
     *
     * @param <C> type of a call
     * @param call the call
     * @param outcome whether it passes
     */
    public record Decided<C>(C call, QuotaOutcome outcome) {}

    /**
     * Question to the control.
     *
     * @param number number that the answers carry
     * @param demands calls and returned tokens of each tenant
     */
    public record Question(long number, List<QuotaDemand> demands) {}

    private record Waiting<C>(C call, long latestMillis) {}

    private static final class TenantState<C> {
        private final Deque<Waiting<C>> waiting = new ArrayDeque<>();
        private final Deque<QuotaToken> spare = new ArrayDeque<>();
        private int asked;
        private int returned;
        private long returnedDrawnMillis;
        private long throttledUntilMillis = Long.MIN_VALUE;
        private long retryMillis;

        private boolean isIdle(long nowMillis) {
            return waiting.isEmpty()
                    && spare.isEmpty()
                    && returned == 0
                    && nowMillis >= throttledUntilMillis;
        }
    }

    private final Map<String, TenantState<C>> tenants = new LinkedHashMap<>();
    private final Map<Long, Long> askedMillisByQuestion = new LinkedHashMap<>();
    private long lastQuestion;
    private long session;

    private QuotaPool() {}

    /**
     * Returns a pool without calls.
     *
     * @param <C> type of a call
     * @return the pool
     */
    public static <C> QuotaPool<C> create() {
        return new QuotaPool<>();
    }

    /**
     * Offers a call.
     *
     * @param tenant name of its tenant
     * @param call the call
     * @param maxWaitMillis longest time that it may wait for the answer of a control
     * @param nowMillis current time
     * @return whether it passes, waits or is refused
     */
    public QuotaOutcome offer(String tenant, C call, long maxWaitMillis, long nowMillis) {
        TenantState<C> state = tenants.computeIfAbsent(tenant, absent -> new TenantState<>());
        Optional<QuotaToken> spare = takeSpare(state, nowMillis);
        if (spare.isPresent()) {
            return new QuotaOutcome.Passes(spare.get());
        }
        if (nowMillis < state.throttledUntilMillis) {
            return new QuotaOutcome.OverQuota(state.retryMillis);
        }
        state.waiting.addLast(new Waiting<>(call, nowMillis + maxWaitMillis));
        return new QuotaOutcome.Waits();
    }

    /**
     * Returns what to ask the control for now.
     *
     * @param nowMillis current time
     * @return the question, or empty when there is nothing to ask and to return
     */
    public Optional<Question> nextQuestion(long nowMillis) {
        List<QuotaDemand> demands = new ArrayList<>();
        tenants.forEach(
                (tenant, state) -> {
                    int wanted = state.waiting.size() - state.asked;
                    if (wanted > 0 || state.returned > 0) {
                        demands.add(
                                new QuotaDemand(
                                        tenant,
                                        Math.max(0, wanted),
                                        state.returned,
                                        state.returnedDrawnMillis));
                        state.asked += Math.max(0, wanted);
                        state.returned = 0;
                    }
                });
        if (demands.isEmpty()) {
            return Optional.empty();
        }
        lastQuestion++;
        askedMillisByQuestion.put(lastQuestion, nowMillis);
        Iterator<Long> oldest = askedMillisByQuestion.keySet().iterator();
        if (askedMillisByQuestion.size() > MAX_OPEN_QUESTIONS) {
            oldest.next();
            oldest.remove();
        }
        return Optional.of(new Question(lastQuestion, demands));
    }

    /**
     * Handles an answer of the control. Tokens that no call waits for are kept until they expire.
     *
     * @param question number of the question
     * @param answer the answer
     * @param nowMillis current time
     * @return the calls that it decides
     */
    public List<Decided<C>> answer(long question, QuotaAnswer answer, long nowMillis) {
        Long askedMillis = askedMillisByQuestion.get(question);
        TenantState<C> state = tenants.get(answer.tenant());
        if (askedMillis == null || state == null) {
            return List.of();
        }
        List<Decided<C>> decided = new ArrayList<>();
        state.asked = Math.max(0, state.asked - answer.granted() - answer.refused());
        long expiresMillis = askedMillis + answer.validMillis();
        if (nowMillis <= expiresMillis) {
            QuotaToken token =
                    new QuotaToken(answer.tenant(), answer.drawnMillis(), expiresMillis, session);
            for (int granted = 0; granted < answer.granted(); granted++) {
                if (state.waiting.isEmpty()) {
                    state.spare.addLast(token);
                } else {
                    Waiting<C> next = state.waiting.removeFirst();
                    decided.add(new Decided<>(next.call(), new QuotaOutcome.Passes(token)));
                }
            }
        } else {
            returnLate(state, answer, expiresMillis);
        }
        if (answer.refused() > 0) {
            refuse(state, answer, decided, nowMillis);
        }
        state.asked = Math.min(state.asked, state.waiting.size());
        return decided;
    }

    /**
     * Takes back the token of a call that has not run. It serves another call of this node until it
     * expires, or goes back to the control that granted it.
     *
     * @param token the token
     * @param nowMillis current time
     * @return the waiting call that passes with it, or empty
     */
    public Optional<Decided<C>> giveBack(QuotaToken token, long nowMillis) {
        TenantState<C> state =
                tenants.computeIfAbsent(token.tenant(), absent -> new TenantState<>());
        if (nowMillis <= token.expiresMillis() && !state.waiting.isEmpty()) {
            Waiting<C> next = state.waiting.removeFirst();
            state.asked = Math.min(state.asked, state.waiting.size());
            return Optional.of(new Decided<>(next.call(), new QuotaOutcome.Passes(token)));
        }
        if (token.session() == session) {
            addReturned(state, token);
        }
        return Optional.empty();
    }

    /**
     * Refuses the calls whose wait is over, and forgets what is of no further use.
     *
     * @param nowMillis current time
     * @return the refused calls
     */
    public List<Decided<C>> expire(long nowMillis) {
        List<Decided<C>> expired = new ArrayList<>();
        tenants.values()
                .removeIf(
                        state -> {
                            expire(state, expired, nowMillis);
                            return state.isIdle(nowMillis);
                        });
        askedMillisByQuestion
                .values()
                .removeIf(asked -> nowMillis - asked > 2 * QuotaLimit.GRANT_VALID_MILLIS);
        return expired;
    }

    /** Starts over with another control: all waiting calls are asked for again. */
    public void startSession() {
        session++;
        askedMillisByQuestion.clear();
        for (TenantState<C> state : tenants.values()) {
            state.asked = 0;
            state.returned = 0;
            state.throttledUntilMillis = Long.MIN_VALUE;
        }
    }

    /**
     * Returns the number of calls that wait for a control.
     *
     * @return waiting calls
     */
    public int waiting() {
        return tenants.values().stream().mapToInt(state -> state.waiting.size()).sum();
    }

    private void returnLate(TenantState<C> state, QuotaAnswer answer, long expiresMillis) {
        QuotaToken token =
                new QuotaToken(answer.tenant(), answer.drawnMillis(), expiresMillis, session);
        for (int granted = 0; granted < answer.granted(); granted++) {
            addReturned(state, token);
        }
    }

    private void refuse(
            TenantState<C> state, QuotaAnswer answer, List<Decided<C>> decided, long nowMillis) {
        state.retryMillis = answer.retryAfterMillis();
        state.throttledUntilMillis =
                nowMillis + Math.min(answer.retryAfterMillis(), MAX_THROTTLE_MILLIS);
        for (int refused = 0; refused < answer.refused() && !state.waiting.isEmpty(); refused++) {
            decided.add(
                    new Decided<>(
                            state.waiting.removeFirst().call(),
                            new QuotaOutcome.OverQuota(answer.retryAfterMillis())));
        }
    }

    private Optional<QuotaToken> takeSpare(TenantState<C> state, long nowMillis) {
        while (!state.spare.isEmpty()) {
            QuotaToken token = state.spare.removeFirst();
            if (nowMillis <= token.expiresMillis()) {
                return Optional.of(token);
            }
            addReturnedIfCurrent(state, token);
        }
        return Optional.empty();
    }

    private void expire(TenantState<C> state, List<Decided<C>> expired, long nowMillis) {
        while (!state.spare.isEmpty() && state.spare.peekFirst().expiresMillis() < nowMillis) {
            addReturnedIfCurrent(state, state.spare.removeFirst());
        }
        state.waiting.removeIf(
                waiting -> {
                    boolean over = waiting.latestMillis() < nowMillis;
                    if (over) {
                        expired.add(
                                new Decided<>(
                                        waiting.call(),
                                        new QuotaOutcome.NoGrant(NO_GRANT_RETRY_MILLIS)));
                    }
                    return over;
                });
        state.asked = Math.min(state.asked, state.waiting.size());
    }

    private void addReturnedIfCurrent(TenantState<C> state, QuotaToken token) {
        if (token.session() == session) {
            addReturned(state, token);
        }
    }

    /** The control counts all as drawn at the earliest time, which never gives back too many. */
    private static <C> void addReturned(TenantState<C> state, QuotaToken token) {
        state.returnedDrawnMillis =
                state.returned == 0
                        ? token.drawnMillis()
                        : Math.min(state.returnedDrawnMillis, token.drawnMillis());
        state.returned++;
    }
}
