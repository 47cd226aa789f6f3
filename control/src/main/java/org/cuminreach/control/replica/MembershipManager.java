package org.cuminreach.control.replica;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.cuminreach.decisions.agreement.Member;
import org.cuminreach.decisions.agreement.Membership;
import org.cuminreach.decisions.agreement.MembershipPolicy;
import org.cuminreach.decisions.agreement.MembershipRequest;
import org.cuminreach.settings.Address;
import org.cuminreach.wire.generated.Frame;
import org.cuminreach.wire.generated.JoinRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Maintains the Raft membership without operators: requests admission while this control is not a
 * member, and admits new members and removes unresponsive ones while it is the leader.
 */
public final class MembershipManager {
    private static final Logger LOGGER = LoggerFactory.getLogger(MembershipManager.class);

    private final ReplicaDriver replica;
    private final PeerConnections peers;
    private final MembershipPolicy policy;
    private final Address ownAddress;
    private volatile List<Address> controlAddresses;
    private int nextAddress;
    private long lastQuorumMillis;
    private Membership loggedMembership = Membership.empty();

    private MembershipManager(
            ReplicaDriver replica,
            PeerConnections peers,
            MembershipPolicy policy,
            Address ownAddress,
            List<Address> controlAddresses,
            long nowMillis) {
        this.replica = replica;
        this.peers = peers;
        this.policy = policy;
        this.ownAddress = ownAddress;
        this.controlAddresses = List.copyOf(controlAddresses);
        this.lastQuorumMillis = nowMillis;
    }

    /**
     * Creates the membership manager of a control.
     *
     * @param replica its replica
     * @param peers its connections to other controls
     * @param policy decides on automatic membership changes
     * @param ownAddress address on which other controls reach it
     * @param controlAddresses addresses of other controls
     * @param nowMillis current time
     * @return the membership manager
     */
    public static MembershipManager create(
            ReplicaDriver replica,
            PeerConnections peers,
            MembershipPolicy policy,
            Address ownAddress,
            List<Address> controlAddresses,
            long nowMillis) {
        return new MembershipManager(
                replica, peers, policy, ownAddress, controlAddresses, nowMillis);
    }

    /**
     * Replaces the addresses of other controls.
     *
     * @param addresses the new addresses
     */
    public void setControlAddresses(List<Address> addresses) {
        controlAddresses = List.copyOf(addresses);
    }

    /**
     * Removes unresponsive members as the leader, and requests admission while this control is not
     * a member or has had no contact with a quorum for too long.
     *
     * @param nowMillis current time
     */
    public void onTimer(long nowMillis) {
        logMembership(replica.membership());
        if (replica.isLeader()) {
            policy.removeSilent(replica.membership(), replica.silentMillis(nowMillis))
                    .ifPresent(request -> changeMembership(request, nowMillis));
        }
        if (replica.hasQuorum(nowMillis)) {
            lastQuorumMillis = nowMillis;
        }
        boolean member = replica.membership().member(replica.self()).isPresent();
        if (MembershipPolicy.requestsAdmission(member, nowMillis - lastQuorumMillis)) {
            requestAdmission();
        }
    }

    /**
     * Tells whether this control asks to leave the group before it stops.
     *
     * @return true while it does, or while it leads a group that it has left already
     */
    public boolean leavesAtStop() {
        Membership membership = replica.membership();
        boolean leftAsLeader = replica.isLeader() && membership.member(replica.self()).isEmpty();
        return leftAsLeader || policy.leavesAtStop(membership, replica.self());
    }

    /**
     * Asks the leader to remove this control. The request may be repeated.
     *
     * @param nowMillis current time
     */
    public void requestLeave(long nowMillis) {
        JoinRequest request =
                new JoinRequest(replica.self(), ownAddress.toString()).setLeaves(true);
        if (replica.isLeader()) {
            receiveLeaveRequest(request, nowMillis);
        } else {
            replica.leader().ifPresent(leader -> peers.send(leader, Frame.joinRequest(request)));
        }
    }

    private void receiveLeaveRequest(JoinRequest request, long nowMillis) {
        policy.release(replica.membership(), request.getId(), replica.silentMillis(nowMillis))
                .ifPresent(change -> changeMembership(change, nowMillis));
    }

    /**
     * Handles a request to join or to leave: the leader admits or removes the control, others
     * forward a request to join that they receive from the joining control itself to the leader.
     *
     * @param request the request
     * @param from identity of the sending control, which may have forwarded it
     * @param nowMillis current time
     */
    public void receiveJoinRequest(JoinRequest request, String from, long nowMillis) {
        if (request.isLeaves()) {
            if (replica.isLeader()) {
                receiveLeaveRequest(request, nowMillis);
            }
        } else if (replica.isLeader()) {
            Address.parse(request.getAddress())
                    .flatMap(
                            address ->
                                    MembershipPolicy.admit(
                                            replica.membership(), request.getId(), address))
                    .ifPresent(change -> changeMembership(change, nowMillis));
        } else if (from.equals(request.getId())) {
            replica.leader().ifPresent(leader -> peers.send(leader, Frame.joinRequest(request)));
        }
    }

    private void requestAdmission() {
        List<Address> addresses = otherAddresses();
        if (addresses.isEmpty()) {
            return;
        }
        Address address = addresses.get(Math.floorMod(nextAddress, addresses.size()));
        nextAddress++;
        peers.sendJoinRequest(address, new JoinRequest(replica.self(), ownAddress.toString()));
    }

    /** Returns the configured addresses and, since these may be outdated, those of the members. */
    private List<Address> otherAddresses() {
        return Stream.concat(
                        controlAddresses.stream(),
                        replica.membership().members().stream().map(Member::address))
                .filter(address -> !address.equals(ownAddress))
                .distinct()
                .toList();
    }

    private void changeMembership(MembershipRequest request, long nowMillis) {
        replica.changeMembership(request, nowMillis)
                .thenAccept(refusal -> logRefusal(request, refusal));
    }

    private void logMembership(Membership membership) {
        if (!membership.equals(loggedMembership)) {
            loggedMembership = membership;
            LOGGER.info(
                    "event=membership_updated voters={} learners={}",
                    membership.voters(),
                    membership.learners());
        }
    }

    private static void logRefusal(MembershipRequest request, Optional<String> refusal) {
        refusal.ifPresent(
                reason ->
                        LOGGER.info(
                                "event=membership_change_refused request={} reason=\"{}\"",
                                request,
                                reason));
    }
}
