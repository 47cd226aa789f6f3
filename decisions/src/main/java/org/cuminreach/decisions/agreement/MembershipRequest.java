package org.cuminreach.decisions.agreement;

import java.util.List;
import java.util.Optional;
import org.cuminreach.settings.Address;

/** A change of the membership that an operator asks for. */
public sealed interface MembershipRequest {
    /**
     * Admit a replica. It starts as a learner; the leader makes it a voter once it has caught up.
     *
     * @param id its identity
     * @param address where other replicas reach it
     */
    record Add(String id, Address address) implements MembershipRequest {}

    /**
     * Remove a replica for good.
     *
     * @param id its identity
     */
    record Remove(String id) implements MembershipRequest {}

    /** What a request comes to. */
    sealed interface Decision {
        /**
         * The membership changes.
         *
         * @param next the whole new membership
         */
        record Change(Membership next) implements Decision {}

        /**
         * The membership stays.
         *
         * @param reason why
         */
        record Refused(String reason) implements Decision {}
    }

    /**
     * Decides what the request comes to.
     *
     * @param membership the membership in force
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
