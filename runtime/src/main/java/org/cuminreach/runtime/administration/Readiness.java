package org.cuminreach.runtime.administration;

/**
 * Whether a process can do its work.
 *
 * @param ready true when it can
 * @param reason why, or why not
 */
public record Readiness(boolean ready, String reason) {}
