package org.cuminreach.decisions.agreement;

/** The content of a log entry. */
public sealed interface Payload {
    /**
     * A command for the replicated state.
     *
     * @param bytes the encoded command; must not be modified
     */
    record Command(byte[] bytes) implements Payload {}

    /**
     * A new membership, effective as soon as it is appended.
     *
     * @param membership the complete new membership
     */
    record MembershipChange(Membership membership) implements Payload {}

    /** The first entry of a leader, which lets it commit the entries of earlier terms. */
    record NoOp() implements Payload {}

    /**
     * Returns the approximate size, which counts towards the batch limit.
     *
     * @return size in bytes
     */
    default int sizeBytes() {
        return this instanceof Command command ? command.bytes().length : 64;
    }
}
