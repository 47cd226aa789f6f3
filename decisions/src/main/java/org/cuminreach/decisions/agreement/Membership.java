package org.cuminreach.decisions.agreement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The replicas of the log. Two memberships that follow each other differ by one voter at most, so
 * that their quorums overlap.
 *
 * @param members the replicas, each identity once
 */
public record Membership(List<Member> members) {
    /** Copies the list. */
    public Membership {
        members = List.copyOf(members);
    }

    /**
     * Returns the membership of a replica that has not joined.
     *
     * @return no members
     */
    public static Membership empty() {
        return new Membership(List.of());
    }

    /**
     * Finds a member.
     *
     * @param id identity
     * @return the member, or empty
     */
    public Optional<Member> member(String id) {
        return members.stream().filter(member -> member.id().equals(id)).findFirst();
    }

    /**
     * Tells whether an identity may vote.
     *
     * @param id identity
     * @return true for a voter
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
     * Returns how many voters make a quorum.
     *
     * @return more than half of the voters
     */
    public int quorum() {
        return voters().size() / 2 + 1;
    }

    /**
     * Tells whether a majority of the voters passes a test.
     *
     * @param test test of an identity
     * @return true when a quorum passes; never for a membership without voters
     */
    public boolean hasQuorum(Predicate<String> test) {
        long passing = voters().stream().filter(test).count();
        return passing >= quorum();
    }

    /**
     * Adds a member, or replaces the one of the same identity.
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
     * Tells whether another membership may follow this one in a single step.
     *
     * @param next the other membership
     * @return true when at most one voter was added or removed and a voter remains
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
