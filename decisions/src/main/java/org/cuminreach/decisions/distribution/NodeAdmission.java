package org.cuminreach.decisions.distribution;

/** Answer of a control to a node that asks for a session. */
public sealed interface NodeAdmission {
    /** The node is admitted. */
    record Admitted() implements NodeAdmission {}

    /**
     * The node should retry later.
     *
     * @param waitMillis time until the retry, in milliseconds
     */
    record RetryLater(long waitMillis) implements NodeAdmission {}
}
