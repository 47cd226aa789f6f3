package org.cuminreach.trial.balancing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminreach.decisions.retry.RetryBudget;
import org.cuminreach.decisions.routing.TargetStatistics;
import org.cuminreach.decisions.routing.TargetView;
import org.cuminreach.settings.Address;

/** A node where calls enter: its own experience of each target. */
final class ModelNode {
    private static final double SMOOTHING = 0.1;
    private static final Address ANYWHERE = new Address("127.0.0.1", 1);

    private final String dataCentre;
    private final List<TargetView> views = new ArrayList<>();
    private final Map<String, Double> latencies = new HashMap<>();
    private final RetryBudget budget = RetryBudget.withDefaultReserve();
    private int turn;

    ModelNode(String dataCentre) {
        this.dataCentre = dataCentre;
    }

    void announce(ModelTarget target, TargetStatistics experience) {
        views.add(
                new TargetView(
                        target.name(),
                        target.name(),
                        target.dataCentre(),
                        ANYWHERE,
                        target.slots(),
                        experience));
    }

    String dataCentre() {
        return dataCentre;
    }

    List<TargetView> views() {
        return views;
    }

    RetryBudget budget() {
        return budget;
    }

    int nextTurn() {
        turn = (turn + 1) & Integer.MAX_VALUE;
        return turn;
    }

    double latency(String target) {
        return latencies.getOrDefault(target, 1.0);
    }

    void tookMillis(String target, double millis) {
        latencies.merge(target, millis, (old, now) -> old + SMOOTHING * (now - old));
    }
}
