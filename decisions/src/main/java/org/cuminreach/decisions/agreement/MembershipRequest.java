package org.cuminreach.decisions.agreement;

import java.util.List;
import java.util.Optional;
import org.cuminreach.settings.Address;

/** A membership change requested by an operator or by {@link MembershipPolicy}. */
public sealed interface MembershipRequest {
    /**
     * Adds a replica as a learner; the leader promotes it to voter once it has caught up.
     *
     * @param id its identity
     * @param address address for connections from other replicas
     */
    record Add(String id, Address address) implements MembershipRequest {}

    /**
     * Removes a replica permanently.
     *
     * @param id its identity
     */
    record Remove(String id) implements MembershipRequest {}

    /** The decision on a request. */
    sealed interface Decision {
        /**
         * The membership changes.
         *
         * @param next the complete new membership
         */
        record Change(Membership next) implements Decision {}

        /**
         * The membership does not change.
         *
         * @param reason reason of the refusal
         */
        record Refused(String reason) implements Decision {}
    }

    /**
     * Decides on the request.
     *
     * @param membership the current membership
     * @return the new membership or a refusal
     */
    default Decision decide(Membership membership) {
        return switch (this) {
            case Add add -> add(membership, add);
            case Remove remove -> remove(membership, remove.id());
        };
    }

    private static Decision add(Membership membership, Add add) {
        if (membership.member(add.id()).isPresent()) {
            return new Decision.Refused(add.id() + " is a member already");
        }
        Optional<Member> other =
                membership.members().stream()
                        .filter(member -> member.address().equals(add.address()))
                        .findFirst();
        if (other.isPresent()) {
            return new Decision.Refused(
                    "remove " + other.get().id() + " first, which has the same address");
        }
        return new Decision.Change(membership.with(new Member(add.id(), add.address(), false)));
    }

    private static Decision remove(Membership membership, String id) {
        if (membership.member(id).isEmpty()) {
            return new Decision.Refused(id + " is no member");
        }
        if (membership.voters().equals(List.of(id))) {
            return new Decision.Refused(id + " is the last voter");
        }
        return new Decision.Change(membership.without(id));
    }
}
