package org.cuminreach.decisions.agreement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The members of the Raft group. Two successive memberships differ by one voter at most, so that
 * their quorums overlap.
 *
 * @param members the members, with unique identities
 */
public record Membership(List<Member> members) {
    /** Makes a defensive copy of the list. */
    public Membership {
        members = List.copyOf(members);
    }

    /**
     * Returns the membership of a replica that has not joined a group.
     *
     * @return a membership without members
     */
    public static Membership empty() {
        return new Membership(List.of());
    }

    /**
     * Finds a member.
     *
     * @param id identity
     * @return the member, or empty if there is none
     */
    public Optional<Member> member(String id) {
        return members.stream().filter(member -> member.id().equals(id)).findFirst();
    }

    /**
     * Returns whether an identity is a voter.
     *
     * @param id identity
     * @return true for a voter, false for a learner or an unknown identity
     */
    public boolean isVoter(String id) {
        return member(id).map(Member::voter).orElse(false);
    }

    /**
     * Returns the identities that vote.
     *
     * @return voters in the order of the membership
     */
    public List<String> voters() {
        return members.stream().filter(Member::voter).map(Member::id).toList();
    }

    /**
     * Returns the identities that do not vote.
     *
     * @return learners in the order of the membership
     */
    public List<String> learners() {
        return members.stream().filter(member -> !member.voter()).map(Member::id).toList();
    }

    /**
     * Returns the size of a quorum.
     *
     * @return the smallest number that is more than half of the voters
     */
    public int quorum() {
        return voters().size() / 2 + 1;
    }

    /**
     * Checks whether a quorum of the voters satisfies a predicate.
     *
     * @param predicate predicate on an identity
     * @return true if a quorum satisfies it; always false for a membership without voters
     */
    public boolean hasQuorum(Predicate<String> predicate) {
        long matching = voters().stream().filter(predicate).count();
        return matching >= quorum();
    }

    /**
     * Adds a member, or replaces the one with the same identity.
     *
     * @param changed the member
     * @return the new membership
     */
    public Membership with(Member changed) {
        List<Member> next = new ArrayList<>(without(changed.id()).members);
        next.add(changed);
        return new Membership(next);
    }

    /**
     * Removes a member.
     *
     * @param id identity
     * @return the new membership
     */
    public Membership without(String id) {
        return new Membership(members.stream().filter(member -> !member.id().equals(id)).toList());
    }

    /**
     * Checks whether another membership may follow this one in a single change.
     *
     * @param next the other membership
     * @return true if at most one voter is added or removed and at least one voter remains
     */
    public boolean canChangeTo(Membership next) {
        Set<String> changed = new HashSet<>(voters());
        for (String voter : next.voters()) {
            if (!changed.remove(voter)) {
                changed.add(voter);
            }
        }
        return changed.size() <= 1 && !next.voters().isEmpty();
    }
}
