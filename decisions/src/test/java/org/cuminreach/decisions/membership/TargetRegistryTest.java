package org.cuminreach.decisions.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cuminreach.settings.Address;

class TargetRegistryTest {
    @Property(seed = "11", tries = 200)
    void orderOfArrivalDoesNotMatter(@ForAll long shuffleSeed) {
        List<Announcement> announcements = new ArrayList<>();
        for (int node = 0; node < 3; node++) {
            for (int incarnation = 1; incarnation <= 2; incarnation++) {
                for (int sequence = 1; sequence <= 3; sequence++) {
                    announcements.add(announcement("node-" + node, incarnation, sequence));
                }
            }
        }
        TargetRegistry inOrder = TargetRegistry.empty();
        inOrder.merge(announcements);
        List<Announcement> shuffled = new ArrayList<>(announcements);
        Collections.shuffle(shuffled, new Random(shuffleSeed));
        TargetRegistry crossed = TargetRegistry.empty();
        shuffled.forEach(announcement -> crossed.merge(List.of(announcement)));

        assertThat(Set.copyOf(crossed.all())).isEqualTo(Set.copyOf(inOrder.all()));
    }

    @Example
    void expiryOfEarlierProcessLeavesLaterOne() {
        TargetRegistry registry = TargetRegistry.empty();
        registry.merge(List.of(announcement("node-1", 1, 5), announcement("node-1", 2, 1)));

        assertThat(registry.expire("node-1", 1)).isEmpty();
        assertThat(registry.all().getFirst().phase()).isEqualTo(TargetPhase.READY);
    }

    private static Announcement announcement(String node, long incarnation, long sequence) {
        return new Announcement(
                node,
                incarnation,
                sequence,
                "arkiv",
                "1",
                "nidaros",
                new Address("127.0.0.1", 7_000),
                9,
                TargetPhase.READY);
    }
}
