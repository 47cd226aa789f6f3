package org.cuminreach.control.replica;

import java.util.List;
import java.util.Optional;
import org.cuminreach.decisions.agreement.MemberUpkeep;
import org.cuminreach.decisions.agreement.MembershipRequest;
import org.cuminreach.settings.Address;
import org.cuminreach.wire.generated.Frame;
import org.cuminreach.wire.generated.JoinRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the membership up to date without operators: asks for admission while this control is not a
 * member, admits others and removes silent ones while it leads.
 */
public final class MembershipManager {
    private static final Logger LOGGER = LoggerFactory.getLogger(MembershipManager.class);

    /**
     * Time without a leader after which a member asks again, in milliseconds: it may have been
     * removed meanwhile. Twice the longest election timeout.
     */
    private static final long LEADERLESS_TIMEOUT_MILLIS = 4_000;

    private final ReplicaDriver replica;
    private final PeerConnections peers;
    private final Address ownAddress;
    private volatile List<Address> controlAddresses;
    private int nextAddress;
    private long lastQuorumMillis;

    private MembershipManager(
            ReplicaDriver replica,
            PeerConnections peers,
            Address ownAddress,
            List<Address> contacts,
            long nowMillis) {
        this.replica = replica;
        this.peers = peers;
        this.ownAddress = ownAddress;
        this.controlAddresses = List.copyOf(contacts);
        this.lastQuorumMillis = nowMillis;
    }

    /**
     * Returns the keeper of a control.
     *
     * @param replica its replica
     * @param peers its links to other controls
     * @param ownAddress where other controls reach it
     * @param contacts where other controls may be reached
     * @param nowMillis present time
     * @return the keeper
     */
    public static MembershipManager create(
            ReplicaDriver replica,
            PeerConnections peers,
            Address ownAddress,
            List<Address> contacts,
            long nowMillis) {
        return new MembershipManager(replica, peers, ownAddress, contacts, nowMillis);
    }

    /**
     * Takes other contacts.
     *
     * @param addresses where other controls may be reached
     */
    public void setControlAddresses(List<Address> addresses) {
        controlAddresses = List.copyOf(addresses);
    }

    /**
     * Lets time pass.
     *
     * @param nowMillis present time
     */
    public void onTimer(long nowMillis) {
        if (replica.isLeader()) {
            MemberUpkeep.retire(replica.membership(), replica.silentMillis(nowMillis))
                    .ifPresent(request -> changeMembership(request, nowMillis));
        }
        if (replica.hasQuorum(nowMillis)) {
            lastQuorumMillis = nowMillis;
        }
        boolean member = replica.membership().member(replica.self()).isPresent();
        if (!member || nowMillis - lastQuorumMillis > LEADERLESS_TIMEOUT_MILLIS) {
            requestAdmission();
        }
    }

    /**
     * Takes a request for admission.
     *
     * @param request the request
     * @param from identity of the control that passed it here
     * @param nowMillis present time
     */
    public void receiveJoinRequest(JoinRequest request, String from, long nowMillis) {
        if (replica.isLeader()) {
            Address.parse(request.getAddress())
                    .flatMap(
                            address ->
                                    MemberUpkeep.admit(
                                            replica.membership(), request.getId(), address))
                    .ifPresent(change -> changeMembership(change, nowMillis));
        } else if (from.equals(request.getId())) {
            replica.leader().ifPresent(leader -> peers.send(leader, Frame.joinRequest(request)));
        }
    }

    private void requestAdmission() {
        List<Address> known = controlAddresses;
        if (known.isEmpty()) {
            return;
        }
        Address contact = known.get(Math.floorMod(nextAddress, known.size()));
        nextAddress++;
        if (!contact.equals(ownAddress)) {
            peers.sendJoinRequest(contact, new JoinRequest(replica.self(), ownAddress.toString()));
        }
    }

    private void changeMembership(MembershipRequest request, long nowMillis) {
        replica.changeMembership(request, nowMillis)
                .thenAccept(refusal -> logRefusal(request, refusal));
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
