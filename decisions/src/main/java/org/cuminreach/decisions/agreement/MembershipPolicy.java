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
     * loss. A control that loses power for a moment is back before.
     */
    private static final long MAX_SURPLUS_VOTER_SILENCE_MILLIS = 3_500;

    /**
     * Time without a response after which a voter is removed while the number of voters is odd and
     * all others respond, in milliseconds. Its removal leaves the quorum as large as it is, and
     * would cost the group its data and its vote if it returned.
     */
    private static final long MAX_LONE_VOTER_SILENCE_MILLIS = 600_000;

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
     * removed the quorum counts both it and its successor. Of an odd number, a single one is kept
     * for long, as its removal alone would not make the quorum smaller.
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
        long maxMillis =
                member.voter()
                        ? maxVoterSilenceMillis(membership, silentMillis)
                        : MAX_SILENCE_MILLIS;
        return silentMillis.getOrDefault(member.id(), 0L) > maxMillis;
    }

    private static long maxVoterSilenceMillis(
            Membership membership, Map<String, Long> silentMillis) {
        if (hasSurplusVoter(membership)) {
            return MAX_SURPLUS_VOTER_SILENCE_MILLIS;
        }
        long silentVoters =
                membership.voters().stream()
                        .filter(voter -> silentMillis.getOrDefault(voter, 0L) > MAX_SILENCE_MILLIS)
                        .count();
        return silentVoters > 1 ? MAX_SILENCE_MILLIS : MAX_LONE_VOTER_SILENCE_MILLIS;
    }

    /** Of an even number of voters, one can be removed and the quorum becomes smaller. */
    private static boolean hasSurplusVoter(Membership membership) {
        return membership.voters().size() % 2 == 0;
    }

    /** A silent voter can be removed if enough voters remain and most of those respond. */
    private static boolean canRemoveVoter(Membership membership, Map<String, Long> silentMillis) {
        return canRemoveVoter(
                membership,
                membership.members().stream()
                        .filter(Member::voter)
                        .filter(voter -> !isSilent(membership, voter, silentMillis))
                        .count());
    }

    private static boolean canRemoveVoter(Membership membership, long respondingOthers) {
        long remaining = membership.voters().size() - 1;
        return remaining >= MIN_VOTERS && respondingOthers > remaining / 2;
    }

    /**
     * Decides whether a control that stops asks to leave the group. It does if there is a voter too
     * many, since it may be the one that was replaced. Otherwise it remains a member: it may return
     * with its data, and its removal would not make the quorum smaller.
     *
     * @param membership current membership
     * @param id identity of the control
     * @return true if it asks to leave
     */
    public static boolean leavesAtStop(Membership membership, String id) {
        return membership.isVoter(id)
                && hasSurplusVoter(membership)
                && membership.voters().size() > MIN_VOTERS;
    }

    /**
     * Decides on a control that stops and asks to leave the group.
     *
     * @param membership current membership
     * @param id identity of the control
     * @param silentMillis time since the last response of each other member, in milliseconds
     * @return the change, or empty if it remains a member
     */
    public static Optional<MembershipRequest> release(
            Membership membership, String id, Map<String, Long> silentMillis) {
        long respondingOthers =
                membership.members().stream()
                        .filter(member -> member.voter() && !member.id().equals(id))
                        .filter(voter -> !isSilent(membership, voter, silentMillis))
                        .count();
        return leavesAtStop(membership, id) && canRemoveVoter(membership, respondingOthers)
                ? Optional.of(new MembershipRequest.Remove(id))
                : Optional.empty();
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
