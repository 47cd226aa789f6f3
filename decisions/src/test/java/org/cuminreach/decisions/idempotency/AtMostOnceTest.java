package org.cuminreach.decisions.idempotency;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

class AtMostOnceTest {
    private static final long MAX_BYTES = 4_000_000;
    private static final int NODES = 5;
    private static final int STEPS_PER_KEY = 10;
    private static final int CONCURRENT_KEYS = 30;
    private static final int MIN_RUNS = 20;
    private static final int STEPS = 1_500;
    private static final long MAX_VIEW_LAG_MILLIS = 4_000;
    private static final long CLOCK_SKEW_MILLIS = 900;

    /** Node whose view of the membership lags, and whose store is lost when it restarts. */
    private static final class Node {
        private final String name;
        private IdempotencyKeyStore<String> store;
        private KeyHomes homes = KeyHomes.empty();
        private long viewLagMillis;
        private int appliedMemberships;

        private Node(String name, long nowMillis) {
            this.name = name;
            this.store = IdempotencyKeyStore.startedAt(MAX_BYTES, nowMillis);
        }
    }

    /** Set of live nodes from a time on. */
    private record Membership(long atMillis, Set<String> alive) {}

    /**
     * Simulates nodes that join, fail and restart with lagging views of the membership, while
     * requests are repeated through several nodes.
     */
    private static final class Simulation {
        private final Random random;
        private final boolean timed;
        private final List<Node> nodes = new ArrayList<>();
        private final Set<String> alive = new TreeSet<>();
        private final List<Membership> memberships = new ArrayList<>();
        private final Map<Integer, Integer> runs = new HashMap<>();
        private final Map<Integer, Long> firstSent = new HashMap<>();
        private final Set<Integer> claimedNotRun = new HashSet<>();
        private long nowMillis = 1_000_000;
        private int answers;
        private int steps;

        private Simulation(long seed, boolean timed) {
            this.random = new Random(seed);
            this.timed = timed;
            for (int index = 0; index < NODES; index++) {
                nodes.add(new Node("n" + index, nowMillis));
                alive.add("n" + index);
            }
            recordMembership();
        }

        private void step() {
            steps++;
            nowMillis += random.nextInt(400);
            nodes.forEach(this::applyVisibleMemberships);
            int draw = random.nextInt(100);
            if (draw < (timed ? 2 : 1)) {
                toggleNode(random.nextInt(NODES));
            } else if (draw < (timed ? 3 : 1)) {
                restart(nodes.get(random.nextInt(NODES)));
            } else {
                send(chooseKey(), nodes.get(random.nextInt(NODES)));
            }
        }

        private int chooseKey() {
            return Math.max(0, steps / STEPS_PER_KEY - random.nextInt(CONCURRENT_KEYS));
        }

        private void recordMembership() {
            memberships.add(new Membership(nowMillis, new TreeSet<>(alive)));
        }

        private void toggleNode(int index) {
            String name = "n" + index;
            if (alive.size() > 1 && alive.remove(name)) {
                recordMembership();
            } else if (alive.add(name)) {
                restart(nodes.get(index));
                recordMembership();
            }
        }

        private void restart(Node node) {
            node.store = IdempotencyKeyStore.startedAt(MAX_BYTES, clock(node));
            node.homes = KeyHomes.empty();
            node.viewLagMillis = random.nextLong(MAX_VIEW_LAG_MILLIS);
            node.appliedMemberships = 0;
            applyVisibleMemberships(node);
        }

        private void applyVisibleMemberships(Node node) {
            while (node.appliedMemberships < memberships.size()
                    && memberships.get(node.appliedMemberships).atMillis() + node.viewLagMillis
                            <= nowMillis) {
                node.homes.updateNodes(
                        memberships.get(node.appliedMemberships).alive(), clock(node));
                node.appliedMemberships++;
            }
        }

        private long clock(Node node) {
            return nowMillis + (node.name.hashCode() % 2 == 0 ? CLOCK_SKEW_MILLIS / 2 : 0);
        }

        private void send(int number, Node sender) {
            long sent = firstSent.computeIfAbsent(number, key -> nowMillis);
            if (!timed && nowMillis - sent >= IdempotencyKeyStore.UNTIMED_KEY_WINDOW_MILLIS) {
                return;
            }
            Optional<String> homeName = sender.homes.home("key" + number);
            if (!alive.contains(sender.name) || homeName.isEmpty()) {
                return;
            }
            Node home = nodes.get(homeName.get().charAt(1) - '0');
            boolean accepts =
                    alive.contains(home.name) && home.homes.home("key" + number).equals(homeName);
            if (accepts) {
                register(number, home, timed ? OptionalLong.of(sent) : OptionalLong.empty());
            }
        }

        private void register(int number, Node home, OptionalLong created) {
            IdempotencyKey key = new IdempotencyKey("key" + number, created);
            long clock = clock(home);
            long since = home.homes.homeSince(key.text(), clock);
            switch (home.store.register(key, 7, "first", since, clock)) {
                case KeyDecision.Run<String> run -> {
                    runs.merge(number, 1, Integer::sum);
                    home.store.complete(key, 100);
                    answers++;
                }
                case KeyDecision.Known<String> known -> answers++;
                case KeyDecision.NotRun<String> notRun -> claimedNotRun.add(number);
                case KeyDecision.MayHaveRun<String> mayHaveRun -> {}
                case KeyDecision.OtherRequest<String> other -> throw new AssertionError(other);
            }
        }
    }

    @Property(tries = 150, seed = "5401")
    void timedKeyNeverRunsTwice(@ForAll long seed) {
        Simulation simulation = new Simulation(seed, true);
        for (int step = 0; step < STEPS; step++) {
            simulation.step();
        }
        simulation.runs.forEach(
                (number, count) ->
                        assertWithMessage("runs of %s", number).that(count).isEqualTo(1));
        assertThat(simulation.runs.size()).isAtLeast(MIN_RUNS);
        assertThat(simulation.answers).isGreaterThan(simulation.runs.size());
        simulation.claimedNotRun.forEach(
                number -> assertThat(simulation.runs).doesNotContainKey(number));
    }

    @Property(tries = 150, seed = "5402")
    void untimedKeyNeverRunsTwiceWithinItsWindow(@ForAll long seed) {
        Simulation simulation = new Simulation(seed, false);
        simulation.nowMillis += IdempotencyKeyStore.UNTIMED_KEY_WINDOW_MILLIS;
        for (int step = 0; step < STEPS; step++) {
            simulation.step();
        }
        simulation.runs.forEach(
                (number, count) ->
                        assertWithMessage("runs of %s", number).that(count).isEqualTo(1));
        assertThat(simulation.runs.size()).isAtLeast(1);
        assertThat(simulation.answers).isGreaterThan(simulation.runs.size());
    }

    @Property(tries = 200, seed = "5403")
    void storeStaysWithinItsLimitAndKeepsRecentKeys(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 400) int keys) {
        Random random = new Random(seed);
        long maxBytes = 50_000;
        IdempotencyKeyStore<String> store = IdempotencyKeyStore.startedAt(maxBytes, 0);
        long nowMillis = 100_000;
        Map<String, Long> ran = new HashMap<>();
        for (int number = 0; number < keys; number++) {
            nowMillis += random.nextInt(2_000);
            IdempotencyKey key = new IdempotencyKey("k" + number, OptionalLong.of(nowMillis));
            if (store.register(key, 1, "a", 0, nowMillis) instanceof KeyDecision.Run<String>) {
                ran.put(key.text(), nowMillis);
                store.complete(key, random.nextInt(1_000));
            }
            assertThat(store.usedBytes()).isAtMost(maxBytes + 1_000);
        }
        for (Map.Entry<String, Long> entry : ran.entrySet()) {
            IdempotencyKey key =
                    new IdempotencyKey(entry.getKey(), OptionalLong.of(entry.getValue()));
            KeyDecision<String> again = store.register(key, 1, "b", 0, nowMillis);
            assertThat(again).isNotInstanceOf(KeyDecision.Run.class);
            if (nowMillis - entry.getValue() < IdempotencyKeyStore.MIN_RETENTION_MILLIS) {
                assertThat(again).isEqualTo(new KeyDecision.Known<>("a"));
            }
        }
    }

    @Property(tries = 200, seed = "5404")
    void nodeThatLeavesMovesOnlyItsOwnKeys(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        List<String> nodes = List.of("a", "b", "c", "d", "e");
        KeyHomes before = KeyHomes.empty();
        before.updateNodes(nodes, 0);
        KeyHomes after = KeyHomes.empty();
        after.updateNodes(nodes.subList(0, 4), 0);
        String key = "key-" + seed;
        String home = before.home(key).orElseThrow();
        if (!home.equals("e")) {
            assertThat(after.home(key)).hasValue(home);
        }
    }

    @Example
    void keysSpreadOverTheNodes() {
        KeyHomes homes = KeyHomes.empty();
        homes.updateNodes(List.of("a", "b", "c", "d", "e"), 0);
        Map<String, Integer> counts = new HashMap<>();
        for (int number = 0; number < 10_000; number++) {
            counts.merge(homes.home("order-" + number).orElseThrow(), 1, Integer::sum);
        }
        counts.values().forEach(count -> assertThat(count).isIn(range(1_800, 2_200)));
    }

    @Example
    void sameKeyForAnotherRequestIsRefused() {
        IdempotencyKeyStore<String> store = IdempotencyKeyStore.startedAt(MAX_BYTES, 0);
        IdempotencyKey key = new IdempotencyKey("k", OptionalLong.of(50_000));
        store.register(key, 1, "a", 0, 50_000);
        assertThat(store.register(key, 2, "b", 0, 50_001))
                .isEqualTo(new KeyDecision.OtherRequest<>());
    }

    @Example
    void timeOfVersionSevenUuidIsParsed() {
        assertThat(
                        IdempotencyKey.parse("017f22e2-79b0-7cc3-98c4-dc0c0c07398f")
                                .orElseThrow()
                                .createdMillis())
                .isEqualTo(OptionalLong.of(1_645_557_742_000L));
        assertThat(IdempotencyKey.parse("  ")).isEmpty();
        assertThat(IdempotencyKey.parse("order-17").orElseThrow().createdMillis())
                .isEqualTo(OptionalLong.empty());
    }

    private static com.google.common.collect.Range<Integer> range(int min, int max) {
        return com.google.common.collect.Range.closed(min, max);
    }
}
