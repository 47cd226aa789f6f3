package org.cuminreach.decisions.agreement;

/**
 * The replicated state after an entry, in place of all entries up to it.
 *
 * @param lastIndex index of that entry
 * @param lastTerm term of that entry
 * @param membership membership in force at that entry
 * @param state the encoded state; not to be changed
 */
public record Snapshot(long lastIndex, long lastTerm, Membership membership, byte[] state) {}
