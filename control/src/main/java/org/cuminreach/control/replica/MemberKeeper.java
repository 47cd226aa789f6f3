package org.cuminreach.control.replica;

import java.util.List;
import java.util.Optional;
import org.cuminreach.decisions.agreement.MembershipPolicy;
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
public final class MemberKeeper {
    private static final Logger LOGGER = LoggerFactory.getLogger(MemberKeeper.class);

    /**
     * Time without a leader after which a member asks again, in milliseconds: it may have been
     * removed meanwhile. Twice the longest election timeout.
     */
    private static final long LEADERLESS_MILLIS = 4_000;

    private final ReplicaDriver replica;
    private final PeerLinks peers;
    private final Address ownAddress;
    private volatile List<Address> contacts;
    private int next;
    private long ledMillis;

    private MemberKeeper(
            ReplicaDriver replica,
            PeerLinks peers,
            Address ownAddress,
            List<Address> contacts,
            long nowMillis) {
        this.replica = replica;
        this.peers = peers;
        this.ownAddress = ownAddress;
        this.contacts = List.copyOf(contacts);
        this.ledMillis = nowMillis;
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
    public static MemberKeeper create(
            ReplicaDriver replica,
            PeerLinks peers,
            Address ownAddress,
            List<Address> contacts,
            long nowMillis) {
        return new MemberKeeper(replica, peers, ownAddress, contacts, nowMillis);
    }

    /**
     * Takes other contacts.
     *
     * @param addresses where other controls may be reached
     */
    public void follow(List<Address> addresses) {
        contacts = List.copyOf(addresses);
    }

    /**
     * Lets time pass.
     *
     * @param nowMillis present time
     */
    public void tick(long nowMillis) {
        if (replica.isLeader()) {
            MembershipPolicy.removeSilent(replica.membership(), replica.silentMillis(nowMillis))
                    .ifPresent(request -> change(request, nowMillis));
        }
        if (replica.hasQuorum(nowMillis)) {
            ledMillis = nowMillis;
        }
        boolean member = replica.membership().member(replica.self()).isPresent();
        if (!member || nowMillis - ledMillis > LEADERLESS_MILLIS) {
            ask();
        }
    }

    /**
     * Takes a request for admission.
     *
     * @param request the request
     * @param from identity of the control that passed it here
     * @param nowMillis present time
     */
    public void asked(JoinRequest request, String from, long nowMillis) {
        if (replica.isLeader()) {
            Address.parse(request.getAddress())
                    .flatMap(
                            address ->
                                    MembershipPolicy.admit(
                                            replica.membership(), request.getId(), address))
                    .ifPresent(change -> change(change, nowMillis));
        } else if (from.equals(request.getId())) {
            replica.leader().ifPresent(leader -> peers.send(leader, Frame.joinRequest(request)));
        }
    }

    private void ask() {
        List<Address> known = contacts;
        if (known.isEmpty()) {
            return;
        }
        Address contact = known.get(Math.floorMod(next, known.size()));
        next++;
        if (!contact.equals(ownAddress)) {
            peers.askToJoin(contact, new JoinRequest(replica.self(), ownAddress.toString()));
        }
    }

    private void change(MembershipRequest request, long nowMillis) {
        replica.changeMembership(request, nowMillis).thenAccept(refusal -> note(request, refusal));
    }

    private static void note(MembershipRequest request, Optional<String> refusal) {
        refusal.ifPresent(
                reason ->
                        LOGGER.info(
                                "event=membership_change_refused request={} reason=\"{}\"",
                                request,
                                reason));
    }
}
