package org.cuminreach.decisions.poison;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class SuspectRegistryTest {
    private static final String REQUEST = "request";
    private static final int CONTROLS = 3;

    /** Time after the third crash from which at most three more runs are allowed. */
    private static final long CONTACT_MILLIS = 3_000;

    /** Interval at which a control sends all that it knows to the others. */
    private static final long REFRESH_INTERVAL_MILLIS = 5_000;

    /** Nodes, each with one control; all messages between them take a delay. */
    private static final class ModelMesh {
        private record Message(long dueMillis, Runnable delivery) {}

        private final List<PoisonRequestTable> nodes = new ArrayList<>();
        private final List<SuspectRegistry> controls = new ArrayList<>();
        private final long[] heldRevisions;
        private final List<Message> messages = new ArrayList<>();
        private final Map<String, Long> lastDueMillis = new HashMap<>();
        private final Random random;
        private final long maxDelayMillis;
        private long nowMillis = 1_000_000;

        ModelMesh(int nodeCount, Random random, long maxDelayMillis) {
            this.random = random;
            this.maxDelayMillis = maxDelayMillis;
            heldRevisions = new long[nodeCount];
            for (int node = 0; node < nodeCount; node++) {
                nodes.add(PoisonRequestTable.empty());
            }
            for (int control = 0; control < CONTROLS; control++) {
                controls.add(SuspectRegistry.empty());
            }
        }

        void advance(long millis) {
            for (long passed = 0; passed < millis; passed += 10) {
                nowMillis += 10;
                for (int node = 0; node < nodes.size(); node++) {
                    update(node);
                }
                List<Message> due =
                        messages.stream().filter(each -> each.dueMillis() <= nowMillis).toList();
                messages.removeAll(due);
                due.forEach(each -> each.delivery().run());
            }
        }

        /** As {@link #advance}, with refreshes, and nodes that connect to their control again. */
        void advanceWithResends(long millis) {
            for (long passed = 0; passed < millis; passed += 100) {
                advance(100);
                if (nowMillis % REFRESH_INTERVAL_MILLIS == 0) {
                    refreshControls();
                }
                if (random.nextInt(20) == 0) {
                    welcome(random.nextInt(nodes.size()));
                }
            }
        }

        private void refreshControls() {
            for (int from = 0; from < CONTROLS; from++) {
                for (int to = 0; to < CONTROLS; to++) {
                    if (from != to) {
                        refresh(from, to);
                    }
                }
            }
        }

        private void refresh(int from, int to) {
            for (SuspectReport report : controls.get(from).all(nowMillis)) {
                send(
                        "control " + from + " to control " + to,
                        () -> controls.get(to).merge(report, nowMillis));
            }
        }

        private void welcome(int node) {
            heldRevisions[node] = 0;
            nodes.get(node).reports(nowMillis).forEach(each -> report(node, each));
        }

        int maxLossesKnown() {
            return Stream.concat(
                            nodes.stream().flatMap(each -> each.reports(nowMillis).stream()),
                            controls.stream().flatMap(each -> each.all(nowMillis).stream()))
                    .mapToInt(each -> each.targets().size())
                    .max()
                    .orElse(0);
        }

        void restart(int node) {
            nodes.set(node, PoisonRequestTable.empty());
            heldRevisions[node] = 0;
        }

        void restartControl(int control) {
            controls.set(control, SuspectRegistry.empty());
            for (int other = 0; other < CONTROLS; other++) {
                refresh(other, control);
            }
            for (int node = control; node < nodes.size(); node += CONTROLS) {
                welcome(node);
            }
        }

        boolean isRefused(int node) {
            return nodes.get(node).remainingRefusalMillis(REQUEST, nowMillis).isPresent();
        }

        void lose(int node, String target) {
            nodes.get(node).recordLoss(REQUEST, target, nowMillis);
            nodes.get(node).report(REQUEST, nowMillis).ifPresent(lost -> report(node, lost));
        }

        void endTarget(int node) {
            nodes.get(node).recordTargetEnd(REQUEST, "node-" + node, nowMillis);
            nodes.get(node).report(REQUEST, nowMillis).ifPresent(lost -> report(node, lost));
        }

        void answer(int node) {
            if (nodes.get(node).isSuspect(REQUEST)) {
                nodes.get(node).recordAnswer(REQUEST);
                report(node, new SuspectReport.Answered(REQUEST, 0));
            }
        }

        private void report(int node, SuspectReport report) {
            int control = node % CONTROLS;
            send(
                    "node " + node + " to control",
                    () -> {
                        if (!controls.get(control).merge(report, nowMillis)) {
                            return;
                        }
                        for (int other = 0; other < CONTROLS; other++) {
                            int receiver = other;
                            send(
                                    "control " + control + " to control " + receiver,
                                    () -> controls.get(receiver).merge(report, nowMillis));
                        }
                    });
        }

        private void update(int node) {
            SuspectRegistry control = controls.get(node % CONTROLS);
            if (heldRevisions[node] == control.revision()) {
                return;
            }
            List<SuspectReport> changes = control.changesForNodes(heldRevisions[node], nowMillis);
            heldRevisions[node] = control.revision();
            changes.forEach(
                    each ->
                            send(
                                    "control to node " + node,
                                    () -> nodes.get(node).merge(each, nowMillis)));
        }

        /** Delivers a message later; messages between the same two processes stay in order. */
        private void send(String link, Runnable delivery) {
            long dueMillis =
                    Math.max(
                            lastDueMillis.getOrDefault(link, 0L),
                            nowMillis + 1 + random.nextLong(maxDelayMillis));
            lastDueMillis.put(link, dueMillis);
            messages.add(new Message(dueMillis, delivery));
        }
    }

    @Property(seed = "3601", tries = 100)
    void poisonRequestEndsFewTargetsWhateverNodesSeeItAndRestart(
            @ForAll long seed, @ForAll @IntRange(min = 2, max = 30) int nodes) {
        Random random = new Random(seed);
        ModelMesh mesh = new ModelMesh(nodes, random, 300);
        List<Long> crashes = new ArrayList<>();
        for (int call = 0; call < 200; call++) {
            int node = random.nextInt(nodes);
            for (int attempt = 0; attempt < 2 && !mesh.isRefused(node); attempt++) {
                mesh.advance(100);
                mesh.lose(node, "node-" + random.nextInt(nodes));
                crashes.add(mesh.nowMillis);
            }
            mesh.advance(random.nextInt(500));
            if (random.nextInt(10) == 0) {
                mesh.restart(random.nextInt(nodes));
                mesh.advance(1_000);
            }
            if (random.nextInt(40) == 0) {
                mesh.restartControl(random.nextInt(CONTROLS));
                mesh.advance(1_000);
            }
        }
        long fromMillis = crashes.size() < 3 ? Long.MAX_VALUE : crashes.get(2) + CONTACT_MILLIS;
        assertThat(crashes.stream().filter(at -> at > fromMillis).count()).isAtMost(3);
    }

    @Property(seed = "3901", tries = 100)
    void poisonRequestEndsItsOnlyTargetFewTimesWhateverNodesSeeItAndRestart(
            @ForAll long seed, @ForAll @IntRange(min = 2, max = 30) int nodes) {
        Random random = new Random(seed);
        ModelMesh mesh = new ModelMesh(nodes, random, 300);
        List<Long> ends = new ArrayList<>();
        for (int call = 0; call < 60; call++) {
            int sender = random.nextInt(nodes);
            if (!mesh.isRefused(sender)) {
                mesh.advance(100);
                mesh.endTarget(0);
                if (random.nextBoolean()) {
                    mesh.lose(sender, "node-0");
                }
                ends.add(mesh.nowMillis);
            }
            mesh.advance(1_000);
            if (random.nextInt(10) == 0) {
                mesh.restart(random.nextInt(nodes));
                mesh.advance(1_000);
            }
            if (random.nextInt(40) == 0) {
                mesh.restartControl(random.nextInt(CONTROLS));
                mesh.advance(1_000);
            }
        }
        long fromMillis = ends.size() < 3 ? Long.MAX_VALUE : ends.get(2) + CONTACT_MILLIS;
        assertThat(ends.stream().filter(at -> at > fromMillis).count()).isAtMost(3);
    }

    @Property(seed = "3602", tries = 100)
    void requestThatOtherNodesGetAnswersToIsSoonAcceptedEverywhere(@ForAll long seed) {
        int nodes = 12;
        Random random = new Random(seed);
        ModelMesh mesh = new ModelMesh(nodes, random, 300);
        for (int crash = 0; crash < 6; crash++) {
            mesh.lose(random.nextInt(nodes), "node-" + crash);
            mesh.advance(random.nextInt(200));
        }
        for (int call = 0; call < 40; call++) {
            mesh.answer(random.nextInt(nodes));
            mesh.advance(50);
        }
        mesh.advance(2_000);
        for (int node = 0; node < nodes; node++) {
            assertThat(mesh.isRefused(node)).isFalse();
        }
    }

    @Property(seed = "4901", tries = 100)
    void requestThatLostTwoTargetsOnceIsNeverRefusedWhateverTheDelay(
            @ForAll long seed, @ForAll @IntRange(min = 3, max = 12) int nodes) {
        Random random = new Random(seed);
        ModelMesh mesh = new ModelMesh(nodes, random, 5_000);
        int first = random.nextInt(nodes);
        int second = (first + 1 + random.nextInt(nodes - 1)) % nodes;
        mesh.lose(first, "node-a");
        mesh.advanceWithResends(100L * random.nextInt(100));
        mesh.lose(second, "node-b");
        for (int step = 0; step < 300; step++) {
            mesh.advanceWithResends(100);
            for (int node = 0; node < nodes; node++) {
                assertThat(mesh.isRefused(node)).isFalse();
            }
        }
        assertThat(mesh.maxLossesKnown()).isEqualTo(2);
    }

    @Property(seed = "4903", tries = 100)
    void requestThatLostTwoTargetsOnceIsNeverRefusedWhenTwoNodesNoticeEachLoss(
            @ForAll long seed, @ForAll @IntRange(min = 3, max = 12) int nodes) {
        Random random = new Random(seed);
        ModelMesh mesh = new ModelMesh(nodes, random, 5_000);
        int sender = random.nextInt(nodes);
        for (int loss = 1; loss <= 2; loss++) {
            int target = (sender + loss) % nodes;
            mesh.lose(sender, "node-" + target);
            mesh.endTarget(target);
            mesh.advanceWithResends(100L * random.nextInt(100));
            // The sender itself refuses a request after two losses.
            sender = (sender + 1) % nodes;
        }
        for (int step = 0; step < 300; step++) {
            mesh.advanceWithResends(100);
            for (int node = 0; node < nodes; node++) {
                assertThat(mesh.isRefused(node)).isFalse();
            }
        }
    }

    @Property(seed = "4902", tries = 100)
    void oneEndOfOneTargetStaysOneLossWhateverTheDelay(
            @ForAll long seed, @ForAll @IntRange(min = 2, max = 12) int nodes) {
        Random random = new Random(seed);
        ModelMesh mesh = new ModelMesh(nodes, random, 5_000);
        mesh.endTarget(random.nextInt(nodes));
        for (int step = 0; step < 300; step++) {
            mesh.advanceWithResends(100);
            assertThat(mesh.maxLossesKnown()).isEqualTo(1);
        }
    }

    @Example
    void lossFromBeforeAnAnswerIsIgnored() {
        SuspectRegistry registry = SuspectRegistry.empty();
        registry.merge(lost("node-1", 0), 1_000);
        registry.merge(new SuspectReport.Answered(REQUEST, 0), 2_000);

        assertThat(registry.merge(lost("node-2", 500), 2_200)).isFalse();
        assertThat(registry.merge(lost("node-3", 100), 2_200)).isTrue();
    }

    @Example
    void requestWithOneLossIsNotSentToNodes() {
        SuspectRegistry registry = SuspectRegistry.empty();
        registry.merge(lost("node-1", 0), 1_000);
        assertThat(registry.changesForNodes(0, 1_000)).isEmpty();
        registry.merge(lost("node-2", 0), 1_100);

        assertThat(registry.changesForNodes(0, 1_100)).hasSize(1);
        assertThat(registry.changesForNodes(registry.revision(), 1_100)).isEmpty();
    }

    @Example
    void answerIsSentToNodesThatWereSentTheLosses() {
        SuspectRegistry registry = SuspectRegistry.empty();
        registry.merge(lost("node-1", 0), 1_000);
        registry.merge(lost("node-2", 0), 1_100);
        long held = registry.revision();
        registry.merge(new SuspectReport.Answered(REQUEST, 0), 1_200);

        assertThat(registry.changesForNodes(held, 1_250))
                .containsExactly(new SuspectReport.Answered(REQUEST, 50));
    }

    @Example
    void endSeenNextToTheTargetIsPassedOnAfterTheSendersReport() {
        SuspectRegistry registry = SuspectRegistry.empty();
        registry.merge(lost("node-1", 0), 1_000);
        SuspectReport seen =
                new SuspectReport.Lost(REQUEST, List.of(new TargetLoss("node-1", 10, true)));

        assertThat(registry.merge(seen, 1_005)).isTrue();
        assertThat(registry.merge(seen, 1_005)).isFalse();
        assertThat(registry.merge(lost("node-1", 0), 1_010)).isFalse();
        assertThat(registry.all(1_010))
                .containsExactly(
                        new SuspectReport.Lost(
                                REQUEST, List.of(new TargetLoss("node-1", 15, true))));
    }

    private static SuspectReport lost(String target, long ageMillis) {
        return new SuspectReport.Lost(REQUEST, List.of(new TargetLoss(target, ageMillis, false)));
    }
}
