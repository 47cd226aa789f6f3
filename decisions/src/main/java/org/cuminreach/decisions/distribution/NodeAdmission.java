package org.cuminreach.decisions.distribution;

/** What a control answers to a node that asks for a session. */
public sealed interface NodeAdmission {
    /** The node may stay. */
    record Admitted() implements NodeAdmission {}

    /**
     * The node is to come back later.
     *
     * @param waitMillis time until then, in milliseconds
     */
    record RetryLater(long waitMillis) implements NodeAdmission {}
}
