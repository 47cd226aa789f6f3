package org.cuminreach.decisions.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Random;
import java.util.UUID;
import java.util.function.DoubleSupplier;
import net.jqwik.api.Example;
import org.cuminreach.document.Idempotence;
import org.cuminreach.document.Route;
import org.cuminreach.document.RouteAccess;
import org.cuminreach.document.WeightedService;

/** Sums the calls of many nodes of a route that splits 90 to 10. */
class SplitSequenceTest {
    private static final int NODES = 76;
    private static final int RUNS = 200;
    private static final int[] CALLS_OF_NODE = {5, 20, 100};
    private static final double SHARE = 0.1;
    private static final Route ROUTE =
            new Route(
                    "split",
                    "a.example",
                    "/",
                    List.of(new WeightedService("old", 90), new WeightedService("new", 10)),
                    900,
                    Idempotence.NEVER,
                    2,
                    400,
                    1,
                    "",
                    RouteAccess.unrestricted());

    private static int selected(int calls, DoubleSupplier positions) {
        int selected = 0;
        for (int call = 0; call < calls; call++) {
            selected += ROUTE.selectService(positions.getAsDouble()).equals("new") ? 1 : 0;
        }
        return selected;
    }

    /** Returns the root mean square of the calls that all nodes together send too many or few. */
    private static double deviation(int callsOfNode, boolean sequence) {
        Random random = new Random(41);
        double squares = 0;
        for (int run = 0; run < RUNS; run++) {
            int selected = 0;
            for (int node = 0; node < NODES; node++) {
                SplitSequence positions = SplitSequence.startedAtRandom(random);
                selected += selected(callsOfNode, sequence ? positions::next : random::nextDouble);
            }
            double difference = selected - SHARE * NODES * callsOfNode;
            squares += difference * difference;
        }
        return Math.sqrt(squares / RUNS);
    }

    @Example
    void sumOverNodesIsCloserToTheWeightsThanByDrawing() {
        for (int calls : CALLS_OF_NODE) {
            double bySequence = deviation(calls, true);
            double byDrawing = deviation(calls, false);
            assertThat(bySequence).isLessThan(byDrawing);
        }
    }

    @Example
    void keysAreSpreadByTheWeightsAndKeepTheirService() {
        Random random = new Random(43);
        int selected = 0;
        int keys = 20_000;
        for (int key = 0; key < keys; key++) {
            String text = new UUID(random.nextLong(), random.nextLong()).toString();
            assertThat(SplitSequence.ofKey(text)).isEqualTo(SplitSequence.ofKey(text));
            selected += ROUTE.selectService(SplitSequence.ofKey(text)).equals("new") ? 1 : 0;
        }
        assertThat(selected / (double) keys).isWithin(0.01).of(SHARE);
    }
}
