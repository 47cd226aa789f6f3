package org.cuminreach.decisions.idempotency;

/**
 * Decision on a request that carries an idempotency key.
 *
 * @param <T> type of the data stored for a request
 */
public sealed interface KeyDecision<T> {
    /**
     * The request is the first with its key and runs.
     *
     * @param <T> type of the data stored for a request
     */
    record Run<T>() implements KeyDecision<T> {}

    /**
     * The request is a repetition and gets the outcome of the first.
     *
     * @param first data stored for the first request
     * @param <T> type of the data stored for a request
     */
    record Known<T>(T first) implements KeyDecision<T> {}

    /**
     * An earlier request with this key may have run, but is no longer stored.
     *
     * @param reason reason code for the log and the caller
     * @param <T> type of the data stored for a request
     */
    record MayHaveRun<T>(String reason) implements KeyDecision<T> {}

    /**
     * The request is refused, and no request with this key has run.
     *
     * @param reason reason code for the log and the caller
     * @param <T> type of the data stored for a request
     */
    record NotRun<T>(String reason) implements KeyDecision<T> {}

    /**
     * The key is already in use for a different request.
     *
     * @param <T> type of the data stored for a request
     */
    record OtherRequest<T>() implements KeyDecision<T> {}
}
