package org.cuminreach.document;

/** Which calls on a route may be run more than once. */
public enum Idempotence {
    /** Those whose method is idempotent by the HTTP standard. */
    BY_METHOD,
    /** All of them. */
    ALWAYS,
    /** None of them. */
    NEVER
}
