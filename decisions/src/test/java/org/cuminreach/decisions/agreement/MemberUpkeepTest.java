package org.cuminreach.decisions.agreement;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import org.cuminreach.settings.Address;

class MemberUpkeepTest {
    private static final long SILENT_MILLIS = 20_000;

    private static Member voter(int number) {
        return new Member("r" + number, new Address("10.0.0." + number, 1), true);
    }

    private static final Membership FOUR =
            new Membership(List.of(voter(1), voter(2), voter(3), voter(4)));

    @Example
    void emptiedDiskReplacesItsEarlierIdentity() {
        Address address = new Address("10.0.0.2", 1);

        assertThat(MemberUpkeep.admit(FOUR, "r2-new", address))
                .hasValue(new MembershipRequest.Remove("r2"));
        assertThat(MemberUpkeep.admit(FOUR.without("r2"), "r2-new", address))
                .hasValue(new MembershipRequest.Add("r2-new", address));
        assertThat(MemberUpkeep.admit(FOUR, "r2", address)).isEmpty();
    }

    @Example
    void silentVoterGoesWhileEnoughOthersAreHeard() {
        assertThat(MemberUpkeep.retire(FOUR, Map.of("r4", SILENT_MILLIS)))
                .hasValue(new MembershipRequest.Remove("r4"));
        assertThat(MemberUpkeep.retire(FOUR, Map.of("r4", 1_000L))).isEmpty();
        assertThat(MemberUpkeep.retire(FOUR.without("r1"), Map.of("r4", SILENT_MILLIS))).isEmpty();
        assertThat(
                        MemberUpkeep.retire(
                                FOUR,
                                Map.of(
                                        "r2", SILENT_MILLIS,
                                        "r3", SILENT_MILLIS,
                                        "r4", SILENT_MILLIS)))
                .isEmpty();
    }
}
