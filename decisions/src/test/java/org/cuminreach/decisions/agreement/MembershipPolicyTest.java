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

    // Guards against LOST: a control that lost power for 3.4 s was removed in place of another one.
    @Example
    void voterThatLosesPowerBrieflyBesideSuccessorIsNotRemoved() {
        Membership withSuccessor = FOUR.with(voter(5)).with(voter(6));

        assertThat(MembershipPolicy.removeSilent(withSuccessor, Map.of("r4", 3_400L))).isEmpty();
    }

    @Example
    void loneSilentVoterOfOddNumberKeepsItsVote() {
        Membership five = FOUR.with(voter(5));

        assertThat(MembershipPolicy.removeSilent(five, Map.of("r4", 60_000L))).isEmpty();
        assertThat(MembershipPolicy.removeSilent(five, Map.of("r4", 3_600_000L)))
                .hasValue(new MembershipRequest.Remove("r4"));
    }

    @Example
    void secondSilentVoterOfOddNumberMakesRemovalUseful() {
        Membership five = FOUR.with(voter(5));
        Map<String, Long> silentMillis = Map.of("r3", 13_000L, "r4", SILENT_MILLIS);

        assertThat(MembershipPolicy.removeSilent(five, silentMillis))
                .hasValue(new MembershipRequest.Remove("r4"));
        assertThat(MembershipPolicy.removeSilent(five.without("r4"), silentMillis))
                .hasValue(new MembershipRequest.Remove("r3"));
    }

    @Example
    void stoppingVoterLeavesOnlyWhileThereIsOneTooMany() {
        Membership five = FOUR.with(voter(5));
        Membership six = five.with(voter(6));
        Member learner = new Member("r7", new Address("10.0.0.7", 1), false);

        assertThat(MembershipPolicy.release(six, "r5", Map.of("r4", 2_200L)))
                .hasValue(new MembershipRequest.Remove("r5"));
        assertThat(MembershipPolicy.release(five, "r5", Map.of())).isEmpty();
        assertThat(MembershipPolicy.release(six.with(learner), "r7", Map.of())).isEmpty();
        assertThat(MembershipPolicy.release(six, "r9", Map.of())).isEmpty();
        assertThat(
                        MembershipPolicy.release(
                                six, "r5", Map.of("r2", 9_000L, "r3", 9_000L, "r4", 9_000L)))
                .isEmpty();
        Membership two = new Membership(List.of(voter(1), voter(2)));
        assertThat(MembershipPolicy.release(two, "r2", Map.of())).isEmpty();
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
