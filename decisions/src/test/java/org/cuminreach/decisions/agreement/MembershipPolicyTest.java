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
