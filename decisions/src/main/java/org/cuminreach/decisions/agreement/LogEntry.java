package org.cuminreach.decisions.agreement;

/**
 * One entry of the replicated log.
 *
 * @param index place in the log, from 1
 * @param term term of the leader that appended it
 * @param payload what it carries
 */
public record LogEntry(long index, long term, Payload payload) {}
