package org.cuminreach.document;

/** Rule that selects the calls on a route that may be executed more than once. */
public enum Idempotence {
    /** Calls whose method is idempotent according to the HTTP specification. */
    BY_METHOD,
    /** All calls. */
    ALWAYS,
    /** No call. */
    NEVER
}
