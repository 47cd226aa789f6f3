package org.cuminreach.runtime.administration;

/**
 * Readiness of a process to do its work.
 *
 * @param ready true when the process can do its work
 * @param reason why the process is ready or not
 */
public record Readiness(boolean ready, String reason) {}
