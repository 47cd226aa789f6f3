package org.cuminreach.decisions.agreement;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.cuminreach.settings.Address;

/**
 * Decides on automatic membership changes by the leader: it admits controls that request to join
 * and removes members that have not responded for too long. Each decision is a single change; the
 * next one follows once it is committed.
 *
 * <p>A silent voter may return with its data, so a vote is given up only while the group has more
 * voters than the tolerated losses require.
 */
public final class MembershipPolicy {
    /** Time without a response after which a learner is removed, in milliseconds. */
    private static final long MAX_LEARNER_SILENCE_MILLIS = 12_000;

    /**
     * Time without a response after which a voter is removed while there are more than required, in
     * milliseconds. Until then the quorum counts both a control that was replaced and its
     * successor. A control that loses power for a moment is back before.
     */
    private static final long MAX_SURPLUS_VOTER_SILENCE_MILLIS = 3_500;

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

    private final OptionalInt toleratedLosses;

    private MembershipPolicy(OptionalInt toleratedLosses) {
        this.toleratedLosses = toleratedLosses;
    }

    /**
     * Returns the policy of a group.
     *
     * @param toleratedLosses number of voters that may be lost at the same time, with their disks;
     *     empty for as many as the current number of voters tolerates
     * @return the policy
     */
    public static MembershipPolicy create(OptionalInt toleratedLosses) {
        return new MembershipPolicy(toleratedLosses);
    }

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
     * Decides whether to remove a member that does not respond. A voter is removed only while there
     * are more than the tolerated losses require: one that was replaced at another address does not
     * return, and until it is removed the quorum counts both it and its successor. The others keep
     * their votes however long they are silent.
     *
     * @param membership current membership
     * @param silentMillis time since the last response of each other member, in milliseconds
     * @return the change, or empty if no member is to be removed
     */
    public Optional<MembershipRequest> removeSilent(
            Membership membership, Map<String, Long> silentMillis) {
        return membership.members().stream()
                .filter(member -> isSilent(member, silentMillis))
                .filter(member -> !member.voter() || canRemoveVoter(membership, silentMillis))
                .max(Comparator.comparingLong(member -> silentMillis.get(member.id())))
                .map(member -> new MembershipRequest.Remove(member.id()));
    }

    private static boolean isSilent(Member member, Map<String, Long> silentMillis) {
        long maxMillis =
                member.voter() ? MAX_SURPLUS_VOTER_SILENCE_MILLIS : MAX_LEARNER_SILENCE_MILLIS;
        return silentMillis.getOrDefault(member.id(), 0L) > maxMillis;
    }

    private boolean hasSurplusVoter(Membership membership) {
        return membership.voters().size() > requiredVoters(membership);
    }

    /**
     * Returns the number of voters of which a majority remains after the tolerated losses. An even
     * number tolerates no more losses than one less.
     */
    private int requiredVoters(Membership membership) {
        int losses = toleratedLosses.orElse((membership.voters().size() - 1) / 2);
        return Math.max(MIN_VOTERS, 2 * losses + 1);
    }

    /** A silent voter can be removed if enough voters remain and most of those respond. */
    private boolean canRemoveVoter(Membership membership, Map<String, Long> silentMillis) {
        return canRemoveVoter(
                membership,
                membership.members().stream()
                        .filter(Member::voter)
                        .filter(voter -> !isSilent(voter, silentMillis))
                        .count());
    }

    private boolean canRemoveVoter(Membership membership, long respondingOthers) {
        long remaining = membership.voters().size() - 1;
        return hasSurplusVoter(membership) && respondingOthers > remaining / 2;
    }

    /**
     * Decides whether a control that stops asks to leave the group. It does if there is a voter too
     * many, since it may be the one that was replaced. Otherwise it remains a member, since it may
     * return with its data.
     *
     * @param membership current membership
     * @param id identity of the control
     * @return true if it asks to leave
     */
    public boolean leavesAtStop(Membership membership, String id) {
        return membership.isVoter(id) && hasSurplusVoter(membership);
    }

    /**
     * Decides on a control that stops and asks to leave the group.
     *
     * @param membership current membership
     * @param id identity of the control
     * @param silentMillis time since the last response of each other member, in milliseconds
     * @return the change, or empty if it remains a member
     */
    public Optional<MembershipRequest> release(
            Membership membership, String id, Map<String, Long> silentMillis) {
        long respondingOthers =
                membership.members().stream()
                        .filter(member -> member.voter() && !member.id().equals(id))
                        .filter(voter -> !isSilent(voter, silentMillis))
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
