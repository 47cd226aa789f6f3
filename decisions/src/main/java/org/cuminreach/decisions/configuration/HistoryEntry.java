package org.cuminreach.decisions.configuration;

/**
 * An entry of the change history shown to operators.
 *
 * @param version log index
 * @param atMillis wall-clock time, in milliseconds since the epoch
 * @param actor the operator or component that made the change
 * @param event description of the change
 */
public record HistoryEntry(long version, long atMillis, String actor, String event) {}
