package org.cuminreach.decisions.agreement;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import org.cuminreach.settings.Address;

/**
 * Decides on automatic membership changes by the leader: it admits controls that request to join
 * and removes members that have not responded for too long. Each decision is a single change; the
 * next one follows once it is committed.
 */
public final class MembershipPolicy {
    /**
     * Time without a response after which a member is removed, in milliseconds. It is above the
     * longest pause or network partition from which a member is expected to return with its data.
     */
    private static final long MAX_SILENCE_MILLIS = 12_000;

    /**
     * Time without a response after which a voter is removed while the number of voters is even, in
     * milliseconds. Its removal makes the quorum smaller, so that the group tolerates one more
     * loss.
     */
    private static final long MAX_SURPLUS_VOTER_SILENCE_MILLIS = 1_500;

    /**
     * Time without contact to a quorum after which a member requests admission again, in
     * milliseconds, since it may have been removed.
     */
    private static final long MAX_MILLIS_WITHOUT_QUORUM = 1_000;

    /**
     * Number of voters that automatic removal always leaves: with fewer, the loss of one more would
     * cost the group its quorum.
     */
    private static final int MIN_VOTERS = 3;

    private MembershipPolicy() {}

    /**
     * Decides on a control that requests to become a member.
     *
     * @param membership current membership
     * @param id identity of the control
     * @param address address for connections from other controls
     * @return the next change towards its admission, or empty if it is already a member
     */
    public static Optional<MembershipRequest> admit(
            Membership membership, String id, Address address) {
        if (membership.member(id).isPresent()) {
            return Optional.empty();
        }
        // Two processes cannot share an address, so an earlier identity there will not return.
        Optional<MembershipRequest> replaced =
                membership.members().stream()
                        .filter(member -> member.address().equals(address))
                        .findFirst()
                        .map(member -> new MembershipRequest.Remove(member.id()));
        return replaced.or(() -> Optional.of(new MembershipRequest.Add(id, address)));
    }

    /**
     * Decides whether to remove a member that does not respond. Of an even number of voters, one is
     * removed soon: a control that was replaced at another address does not return, and until it is
     * removed the quorum counts both it and its successor.
     *
     * @param membership current membership
     * @param silentMillis time since the last response of each other member, in milliseconds
     * @return the change, or empty if no member is to be removed
     */
    public static Optional<MembershipRequest> removeSilent(
            Membership membership, Map<String, Long> silentMillis) {
        return membership.members().stream()
                .filter(member -> isSilent(membership, member, silentMillis))
                .filter(member -> !member.voter() || canRemoveVoter(membership, silentMillis))
                .max(Comparator.comparingLong(member -> silentMillis.get(member.id())))
                .map(member -> new MembershipRequest.Remove(member.id()));
    }

    private static boolean isSilent(
            Membership membership, Member member, Map<String, Long> silentMillis) {
        boolean surplus = member.voter() && membership.voters().size() % 2 == 0;
        long maxMillis = surplus ? MAX_SURPLUS_VOTER_SILENCE_MILLIS : MAX_SILENCE_MILLIS;
        return silentMillis.getOrDefault(member.id(), 0L) > maxMillis;
    }

    /** A silent voter can be removed if enough voters remain and most of those respond. */
    private static boolean canRemoveVoter(Membership membership, Map<String, Long> silentMillis) {
        long remaining = membership.voters().size() - 1;
        long responding =
                membership.members().stream()
                        .filter(Member::voter)
                        .filter(voter -> !isSilent(membership, voter, silentMillis))
                        .count();
        return remaining >= MIN_VOTERS && responding > remaining / 2;
    }

    /**
     * Decides whether a control requests admission to the group.
     *
     * @param member true if its own log names it as a member; it may have been removed since
     * @param quorumLostMillis time since its last contact with a quorum or since its start, in
     *     milliseconds
     * @return true if it should send a request, which changes nothing if it is a member
     */
    public static boolean requestsAdmission(boolean member, long quorumLostMillis) {
        return !member || quorumLostMillis > MAX_MILLIS_WITHOUT_QUORUM;
    }
}
