package org.cuminreach.decisions.agreement;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import org.cuminreach.settings.Address;

class MembershipPolicyTest {
    private static final long SILENT_MILLIS = 20_000;

    private static Member voter(int number) {
        return new Member("r" + number, new Address("10.0.0." + number, 1), true);
    }

    private static final Membership FOUR =
            new Membership(List.of(voter(1), voter(2), voter(3), voter(4)));

    @Example
    void newIdentityReplacesOldOneAtSameAddress() {
        Address address = new Address("10.0.0.2", 1);

        assertThat(MembershipPolicy.admit(FOUR, "r2-new", address))
                .hasValue(new MembershipRequest.Remove("r2"));
        assertThat(MembershipPolicy.admit(FOUR.without("r2"), "r2-new", address))
                .hasValue(new MembershipRequest.Add("r2-new", address));
        assertThat(MembershipPolicy.admit(FOUR, "r2", address)).isEmpty();
    }

    @Example
    void replacedVoterIsRemovedBeforeItsSuccessorCountsAsCaughtUp() {
        Membership five = FOUR.with(voter(5));
        Membership withSuccessor = five.with(voter(6));
        Map<String, Long> silentMillis = Map.of("r2", 400L, "r3", 4_000L);

        assertThat(MembershipPolicy.removeSilent(withSuccessor, silentMillis))
                .hasValue(new MembershipRequest.Remove("r3"));
        assertThat(MembershipPolicy.removeSilent(five, silentMillis)).isEmpty();
    }

    @Example
    void longestSilentVoterIsRemovedFirst() {
        Membership six = FOUR.with(voter(5)).with(voter(6));

        assertThat(MembershipPolicy.removeSilent(six, Map.of("r2", 2_000L, "r3", 9_000L)))
                .hasValue(new MembershipRequest.Remove("r3"));
    }

    @Example
    void memberRemovedWhileDownRequestsAdmissionBeforeItCountsAsCaughtUp() {
        assertThat(MembershipPolicy.requestsAdmission(true, 900)).isFalse();
        assertThat(MembershipPolicy.requestsAdmission(true, 1_500)).isTrue();
        assertThat(MembershipPolicy.requestsAdmission(false, 0)).isTrue();
    }

    @Example
    void silentVoterIsRemovedWhileEnoughOthersRespond() {
        assertThat(MembershipPolicy.removeSilent(FOUR, Map.of("r4", SILENT_MILLIS)))
                .hasValue(new MembershipRequest.Remove("r4"));
        assertThat(MembershipPolicy.removeSilent(FOUR, Map.of("r4", 1_000L))).isEmpty();
        assertThat(MembershipPolicy.removeSilent(FOUR.without("r1"), Map.of("r4", SILENT_MILLIS)))
                .isEmpty();
        assertThat(
                        MembershipPolicy.removeSilent(
                                FOUR,
                                Map.of(
                                        "r2", SILENT_MILLIS,
                                        "r3", SILENT_MILLIS,
                                        "r4", SILENT_MILLIS)))
                .isEmpty();
    }
}
