package org.cuminreach.trial.benchmark;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cuminreach.decisions.routing.RouteTable;
import org.cuminreach.decisions.routing.TargetChoice;
import org.cuminreach.decisions.routing.TargetChooser;
import org.cuminreach.decisions.routing.TargetStatistics;
import org.cuminreach.decisions.routing.TargetView;
import org.cuminreach.document.MeshDocument;
import org.cuminreach.document.RolloutPriority;
import org.cuminreach.document.Route;
import org.cuminreach.settings.Address;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;

/** Measures the time and allocation of matching a route and of choosing a target. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class RoutingBenchmark {
    private static final int ROUTES = 460;
    private static final int TARGETS = 6;
    private static final int SLOTS = 9;

    private final RouteTable table = table();
    private final List<TargetView> targets = targets();
    private final Random random = new Random(1);

    /**
     * Matches a route among those of 460 services.
     *
     * @return the route
     */
    @Benchmark
    public Optional<Route> match() {
        return table.match("service-300.example", "/");
    }

    /**
     * Chooses among six targets.
     *
     * @return the choice
     */
    @Benchmark
    public TargetChoice choose() {
        return TargetChooser.choose(targets, Set.of(), true, "nidaros", 0, random);
    }

    private static RouteTable table() {
        List<Route> routes = new ArrayList<>();
        for (int index = 0; index < ROUTES; index++) {
            String name = "service-" + index;
            routes.add(Route.toService(name, name + ".example", "/", name, 1_000, false));
        }
        return RouteTable.of(MeshDocument.of(List.of(), routes, RolloutPriority.SAFETY));
    }

    private static List<TargetView> targets() {
        List<TargetView> views = new ArrayList<>();
        for (int index = 0; index < TARGETS; index++) {
            Address address = new Address("127.0.0.1", 7_000 + index);
            String dataCentre = index % 2 == 0 ? "nidaros" : "lade";
            TargetStatistics statistics = TargetStatistics.warm(SLOTS);
            for (int call = 0; call < index; call++) {
                statistics.recordSent(0);
            }
            views.add(
                    new TargetView(
                            "node-" + index,
                            "node-" + index,
                            dataCentre,
                            address,
                            SLOTS,
                            statistics));
        }
        return views;
    }
}
