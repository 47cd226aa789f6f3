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
        TargetRegistry outOfOrder = TargetRegistry.empty();
        shuffled.forEach(announcement -> outOfOrder.merge(List.of(announcement)));

        assertThat(Set.copyOf(outOfOrder.all())).isEqualTo(Set.copyOf(inOrder.all()));
    }

    @Example
    void expiryOfEarlierProcessKeepsLaterOne() {
        TargetRegistry registry = TargetRegistry.empty();
        registry.merge(List.of(announcement("node-1", 1, 5), announcement("node-1", 2, 1)));

        assertThat(registry.expire("node-1", 1)).isEmpty();
        assertThat(registry.all().getFirst().phase()).isEqualTo(TargetPhase.READY);
    }

    /** A wrong lease expiry hides the target only until its next announcement. */
    @Example
    void nextAnnouncementRevertsWrongExpiry() {
        TargetRegistry registry = TargetRegistry.empty();
        registry.merge(List.of(announcement("node-1", 1, 5)));
        registry.expire("node-1", 1);

        registry.merge(List.of(announcement("node-1", 1, 6)));

        assertThat(registry.all().getFirst().phase()).isEqualTo(TargetPhase.READY);
    }

    @Property(seed = "12", tries = 300)
    void expiriesAndAnnouncementsMergeInAnyOrder(@ForAll long shuffleSeed) {
        List<Announcement> sent = new ArrayList<>();
        for (int sequence = 1; sequence <= 4; sequence++) {
            Announcement ready = announcement("node-1", 1, sequence);
            sent.add(ready);
            if (sequence < 4) {
                sent.add(ready.withPhase(TargetPhase.GONE, sequence));
            }
        }
        sent.addAll(List.copyOf(sent));
        Collections.shuffle(sent, new Random(shuffleSeed));
        TargetRegistry registry = TargetRegistry.empty();
        sent.forEach(announcement -> registry.merge(List.of(announcement)));

        assertThat(registry.all()).containsExactly(announcement("node-1", 1, 4));
    }

    @Example
    void changesSinceRevisionReproduceTargets() {
        TargetRegistry control = TargetRegistry.empty();
        TargetRegistry node = TargetRegistry.empty();
        control.merge(List.of(announcement("node-1", 1, 1), announcement("node-2", 1, 1)));
        node.merge(control.changedSince(-1));
        long revision = control.revision();
        control.expire("node-1", 1);
        control.merge(List.of(announcement("node-3", 1, 1)));
        List<Announcement> changes = control.changedSince(revision);
        node.merge(changes);

        assertThat(changes).hasSize(2);
        assertThat(Set.copyOf(node.all())).isEqualTo(Set.copyOf(control.all()));
    }

    /** Restarted controls send complete lists, by which nodes detect targets gone meanwhile. */
    @Example
    void reconcileExpiresMissingTargetsUnlessTooMany() {
        TargetRegistry node = TargetRegistry.empty();
        List<Announcement> all = new ArrayList<>();
        for (int number = 0; number < 6; number++) {
            all.add(announcement("node-" + number, 1, 1));
        }
        node.merge(all);

        assertThat(node.reconcile(all.subList(0, 3))).isEmpty();
        assertThat(node.reconcile(all.subList(0, 5))).hasSize(1);
        assertThat(node.find("node-5").orElseThrow().isGone()).isTrue();
        node.merge(List.of(announcement("node-5", 1, 2)));
        assertThat(node.find("node-5").orElseThrow().isGone()).isFalse();
    }

    @Example
    void onlyTargetsGoneForLongAreRemoved() {
        TargetRegistry registry = TargetRegistry.empty();
        registry.merge(List.of(announcement("node-1", 1, 1), announcement("node-2", 1, 1)));
        registry.expire("node-1", 1);

        assertThat(registry.removeGone(0, 1_000)).isEmpty();
        assertThat(registry.removeGone(999, 1_000)).isEmpty();
        assertThat(registry.removeGone(1_000, 1_000)).containsExactly("node-1");
        assertThat(registry.find("node-2")).isPresent();
    }

    @Property(seed = "257", tries = 100)
    void drainingTargetDoesNotReturnWithRestartOfItsNode(@ForAll long shuffleSeed) {
        Announcement draining = start("node-1", 1, 2).withPhase(TargetPhase.DRAINING, 2);
        List<Announcement> sent =
                new ArrayList<>(
                        List.of(
                                start("node-1", 1, 1),
                                draining,
                                draining.withPhase(TargetPhase.GONE, 3),
                                start("node-1", 2, 1),
                                start("node-1", 2, 2)));
        Collections.shuffle(sent, new Random(shuffleSeed));
        TargetRegistry registry = TargetRegistry.empty();
        sent.forEach(announcement -> registry.merge(List.of(announcement)));

        assertThat(registry.find("node-1").orElseThrow().phase()).isEqualTo(TargetPhase.DRAINING);
    }

    /** A node that stops announces that its target is gone, though the target runs on. */
    @Example
    void readyTargetReturnsWithRestartOfItsNode() {
        TargetRegistry registry = TargetRegistry.empty();
        registry.merge(List.of(start("node-1", 1, 1)));
        registry.merge(List.of(start("node-1", 1, 1).withPhase(TargetPhase.GONE, 2)));

        registry.merge(List.of(start("node-1", 2, 1)));

        assertThat(registry.find("node-1").orElseThrow().phase()).isEqualTo(TargetPhase.READY);
    }

    private static Announcement announcement(String node, long incarnation, long sequence) {
        return announcement(node, incarnation, sequence, node);
    }

    /** Returns the announcement of a target whose instance identifies its start. */
    private static Announcement start(String node, long incarnation, long sequence) {
        return announcement(node, incarnation, sequence, "start-1");
    }

    private static Announcement announcement(
            String node, long incarnation, long sequence, String instance) {
        return new Announcement(
                node,
                incarnation,
                sequence,
                "arkiv",
                "1",
                "nidaros",
                new Address("127.0.0.1", 7_000),
                9,
                TargetPhase.READY,
                instance);
    }
}
