package org.cuminreach.decisions.agreement;

import java.util.Map;
import java.util.Optional;
import org.cuminreach.settings.Address;

/**
 * Decides how the leader keeps the membership up to date by itself: it admits controls that ask for
 * it and removes those that stay silent. Each decision is one change; the next one follows once
 * that is committed.
 */
public final class MembershipPolicy {
    /**
     * Silence after which a member is removed, in milliseconds: above the longest freeze or cut
     * that a member is expected to come back from with its data.
     */
    private static final long MAX_SILENCE_MILLIS = 12_000;

    /**
     * Voters that are never removed for silence: with fewer, one more loss would stop the group.
     */
    private static final int MIN_VOTERS = 3;

    private MembershipPolicy() {}

    /**
     * Decides on a control that asks to become a member.
     *
     * @param membership present membership
     * @param id identity of the control
     * @param address where other controls reach it
     * @return the change that brings it closer, or empty when it is a member already
     */
    public static Optional<MembershipRequest> admit(
            Membership membership, String id, Address address) {
        if (membership.member(id).isPresent()) {
            return Optional.empty();
        }
        // Two processes cannot have one address, so an earlier identity there is gone for good.
        Optional<MembershipRequest> replaced =
                membership.members().stream()
                        .filter(member -> member.address().equals(address))
                        .findFirst()
                        .map(member -> new MembershipRequest.Remove(member.id()));
        return replaced.or(() -> Optional.of(new MembershipRequest.Add(id, address)));
    }

    /**
     * Decides whether a silent member is removed.
     *
     * @param membership present membership
     * @param silentMillis time since each other member was last heard, in milliseconds
     * @return the change, or empty when all may stay
     */
    public static Optional<MembershipRequest> removeSilent(
            Membership membership, Map<String, Long> silentMillis) {
        return membership.members().stream()
                .filter(member -> silentMillis.getOrDefault(member.id(), 0L) > MAX_SILENCE_MILLIS)
                .filter(member -> !member.voter() || canRemoveVoter(membership, silentMillis))
                .findFirst()
                .map(member -> new MembershipRequest.Remove(member.id()));
    }

    /** A silent voter may go when the others are enough and a majority of them is heard. */
    private static boolean canRemoveVoter(Membership membership, Map<String, Long> silentMillis) {
        long left = membership.voters().size() - 1;
        long heard =
                membership.voters().stream()
                        .filter(voter -> silentMillis.getOrDefault(voter, 0L) <= MAX_SILENCE_MILLIS)
                        .count();
        return left >= MIN_VOTERS && heard > left / 2;
    }
}
