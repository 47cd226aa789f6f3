package org.cuminreach.decisions.idempotency;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.function.Predicate;
import net.jqwik.api.Example;

class KeyHomesInRegionsTest {
    private static final Predicate<String> SOUTH = "south"::equals;
    private static final Map<String, String> NODES =
            Map.of("a", "north", "b", "north", "c", "south", "d", "south");

    @Example
    void homeIsAlwaysAnAllowedNode() {
        KeyHomes homes = KeyHomes.empty();
        homes.updateNodes(NODES, 10);
        for (int key = 0; key < 200; key++) {
            String home = homes.home("key-" + key, SOUTH).orElseThrow();
            assertThat(NODES.get(home)).isEqualTo("south");
            assertThat(homes.home("key-" + key)).isPresent();
        }
        assertThat(homes.home("key", "west"::equals)).isEmpty();
    }

    @Example
    void nodeElsewhereThatLeavesDoesNotMoveTheHome() {
        KeyHomes homes = KeyHomes.empty();
        homes.updateNodes(NODES, 10);
        homes.updateNodes(Map.of("b", "north", "c", "south", "d", "south"), 20);
        for (int key = 0; key < 200; key++) {
            assertThat(homes.homeSince("key-" + key, SOUTH, 30)).isEqualTo(10);
        }
    }

    @Example
    void homeThatLeavesIsReplacedFromThatTimeOn() {
        KeyHomes homes = KeyHomes.empty();
        homes.updateNodes(NODES, 10);
        homes.updateNodes(Map.of("a", "north", "b", "north", "c", "south"), 20);
        for (int key = 0; key < 200; key++) {
            assertThat(homes.home("key-" + key, SOUTH)).hasValue("c");
        }
        assertThat(homes.homeSince(keyOf("d"), SOUTH, 30)).isEqualTo(20);
        assertThat(homes.homeSince(keyOf("c"), SOUTH, 30)).isEqualTo(10);
    }

    private static String keyOf(String node) {
        KeyHomes homes = KeyHomes.empty();
        homes.updateNodes(NODES, 10);
        int key = 0;
        while (!homes.home("key-" + key, SOUTH).orElseThrow().equals(node)) {
            key++;
        }
        return "key-" + key;
    }
}
