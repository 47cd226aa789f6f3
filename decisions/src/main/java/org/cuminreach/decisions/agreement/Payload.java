package org.cuminreach.decisions.agreement;

/** What a log entry carries. */
public sealed interface Payload {
    /**
     * A command for the replicated state.
     *
     * @param bytes the encoded command; not to be changed
     */
    record Command(byte[] bytes) implements Payload {}

    /**
     * A new membership, in force from the moment it is appended.
     *
     * @param membership the whole new membership
     */
    record MembershipChange(Membership membership) implements Payload {}

    /** The first entry of a leader, by which earlier terms' entries become committed. */
    record NoOp() implements Payload {}

    /**
     * Returns the size that counts towards a batch.
     *
     * @return bytes, roughly
     */
    default int sizeBytes() {
        return this instanceof Command command ? command.bytes().length : 64;
    }
}
