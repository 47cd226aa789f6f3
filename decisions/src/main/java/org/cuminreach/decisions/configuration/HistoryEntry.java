package org.cuminreach.decisions.configuration;

/**
 * One line of the history that operators see.
 *
 * @param version log index
 * @param atMillis wall-clock time, in milliseconds since the epoch
 * @param actor who acted: an operator, or the rollout judge
 * @param event what happened
 */
public record HistoryEntry(long version, long atMillis, String actor, String event) {}
