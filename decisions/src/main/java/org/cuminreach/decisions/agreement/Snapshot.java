package org.cuminreach.decisions.agreement;

/**
 * The replicated state as of an entry, which replaces all entries up to it.
 *
 * @param lastIndex index of that entry
 * @param lastTerm term of that entry
 * @param membership membership as of that entry
 * @param state the encoded replicated state; must not be modified
 */
public record Snapshot(long lastIndex, long lastTerm, Membership membership, byte[] state) {}
