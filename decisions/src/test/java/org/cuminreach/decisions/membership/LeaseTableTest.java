package org.cuminreach.decisions.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cuminreach.settings.Address;

class LeaseTableTest {
    private static final LeaseSettings SETTINGS = LeaseSettings.defaults();
    private static final long STEP_MILLIS = 200;
    private static final int TARGETS = 12;

    private final TargetRegistry registry = TargetRegistry.empty();
    private final LeaseTable table = LeaseTable.empty(SETTINGS);
    private final List<String> expired = new ArrayList<>();
    private long nowMillis = 1_000;
    private int withheld;

    @Example
    void lostTargetExpiresWithinSeconds() {
        announce("arkiv", "nidaros");
        runFor(1_000, List.of());
        table.recordSessionClosed("arkiv-nidaros-3", nowMillis);
        runFor(SETTINGS.disconnectedLeaseMillis() + 2 * STEP_MILLIS, List.of("arkiv-nidaros-3"));

        assertThat(expired).containsExactly("arkiv-nidaros-3");
    }

    @Example
    void leasesOfFailedControlExpireAtOtherControls() {
        announce("arkiv", "nidaros");
        runFor(1_000, List.of());
        runFor(
                SETTINGS.connectedLeaseMillis() + 2 * STEP_MILLIS,
                List.of("arkiv-nidaros-1", "arkiv-nidaros-2"));

        assertThat(expired).containsExactly("arkiv-nidaros-1", "arkiv-nidaros-2");
    }

    @Property(seed = "111", tries = 200)
    void massExpiryIsWithheldAfterAtMostTwoTargets(
            @ForAll @IntRange(min = 5, max = TARGETS) int lost, @ForAll long seed) {
        LeaseTableTest fresh = new LeaseTableTest();
        fresh.announce("arkiv", "nidaros");
        fresh.runFor(1_000, List.of());
        Random random = new Random(seed);
        List<String> disconnected = new ArrayList<>();
        for (int index = 0; index < lost; index++) {
            disconnected.add("arkiv-nidaros-" + index);
            fresh.table.recordSessionClosed(disconnected.getLast(), fresh.nowMillis);
            fresh.runFor(random.nextInt(4) * STEP_MILLIS, disconnected);
        }
        fresh.runFor(SETTINGS.withholdMillis() / 2, disconnected);

        assertThat(fresh.expired.size()).isAtMost(SETTINGS.massExpiryCount() - 1);
        assertThat(fresh.withheld).isEqualTo(lost - fresh.expired.size());
        fresh.runFor(SETTINGS.withholdMillis(), disconnected);
        assertThat(fresh.expired).containsExactlyElementsIn(disconnected);
    }

    @Example
    void targetsThatReconnectAfterMassLossNeverExpire() {
        announce("arkiv", "nidaros");
        runFor(1_000, List.of());
        List<String> disconnected = names("arkiv", "nidaros");
        disconnected.forEach(node -> table.recordSessionClosed(node, nowMillis));
        runFor(60_000, disconnected);
        runFor(60_000, List.of());

        assertThat(expired).isEmpty();
        assertThat(withheld).isEqualTo(0);
    }

    @Example
    void controlWithoutQuorumOrAfterPauseExpiresNothing() {
        announce("arkiv", "nidaros");
        runFor(1_000, List.of());
        for (int step = 0; step < 1_000; step++) {
            nowMillis += STEP_MILLIS;
            assertThat(table.decide(nowMillis, false, registry.all()).expired()).isEmpty();
        }
        nowMillis += 600_000;
        assertThat(table.decide(nowMillis, true, registry.all()).expired()).isEmpty();
        nowMillis += STEP_MILLIS;
        assertThat(table.decide(nowMillis, true, registry.all()).expired()).isEmpty();
    }

    private void announce(String service, String dataCentre) {
        List<Announcement> announcements = new ArrayList<>();
        for (String node : names(service, dataCentre)) {
            announcements.add(
                    new Announcement(
                            node,
                            1,
                            1,
                            service,
                            "1",
                            dataCentre,
                            new Address("127.0.0.1", 7_000),
                            9,
                            TargetPhase.READY,
                            node));
        }
        registry.merge(announcements);
    }

    private static List<String> names(String service, String dataCentre) {
        List<String> names = new ArrayList<>();
        for (int index = 0; index < TARGETS; index++) {
            names.add(service + "-" + dataCentre + "-" + index);
        }
        return names;
    }

    private void runFor(long millis, List<String> disconnected) {
        long endMillis = nowMillis + millis;
        while (nowMillis < endMillis) {
            nowMillis += STEP_MILLIS;
            registry.all().stream()
                    .map(Announcement::node)
                    .filter(node -> !disconnected.contains(node))
                    .forEach(node -> table.renew(node, nowMillis));
            LeaseDecision decision = table.decide(nowMillis, true, registry.all());
            withheld = decision.withheld().size();
            for (Announcement gone : decision.expired()) {
                registry.expire(gone.node(), gone.incarnation());
                expired.add(gone.node());
            }
        }
    }
}
