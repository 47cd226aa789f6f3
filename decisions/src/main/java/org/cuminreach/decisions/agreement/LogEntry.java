package org.cuminreach.decisions.agreement;

/**
 * One entry of the replicated log.
 *
 * @param index position in the log, starting at 1
 * @param term term of the leader that appended it
 * @param payload the content
 */
public record LogEntry(long index, long term, Payload payload) {}
