package org.cuminreach.decisions.idempotency;

/**
 * What to do with a request that carries a key.
 *
 * @param <T> type of what is remembered of a request
 */
public sealed interface KeyDecision<T> {
    /**
     * Run it; it is the first of its key.
     *
     * @param <T> type of what is remembered of a request
     */
    record Run<T>() implements KeyDecision<T> {}

    /**
     * It is a repetition; give it the outcome of the first.
     *
     * @param first what is remembered of the first
     * @param <T> type of what is remembered of a request
     */
    record Known<T>(T first) implements KeyDecision<T> {}

    /**
     * An earlier request of this key may have run and is not remembered.
     *
     * @param reason why, for the log and the caller
     * @param <T> type of what is remembered of a request
     */
    record MayHaveRun<T>(String reason) implements KeyDecision<T> {}

    /**
     * It is refused, and no request of this key has run.
     *
     * @param reason why, for the log and the caller
     * @param <T> type of what is remembered of a request
     */
    record NotRun<T>(String reason) implements KeyDecision<T> {}

    /**
     * The key stands for another request already.
     *
     * @param <T> type of what is remembered of a request
     */
    record OtherRequest<T>() implements KeyDecision<T> {}
}
