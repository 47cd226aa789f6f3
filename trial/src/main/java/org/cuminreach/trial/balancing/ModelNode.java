package org.cuminreach.trial.balancing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminreach.decisions.retry.RetryBudget;
import org.cuminreach.decisions.routing.TargetStatistics;
import org.cuminreach.decisions.routing.TargetView;
import org.cuminreach.settings.Address;

/** A node of the queueing model, with its own statistics of each target. */
final class ModelNode {
    private static final double SMOOTHING = 0.1;
    private static final Address UNUSED_ADDRESS = new Address("127.0.0.1", 1);

    private final String dataCentre;
    private final List<TargetView> views = new ArrayList<>();
    private final Map<String, Double> latencyMillisByTarget = new HashMap<>();
    private final RetryBudget retryBudget = RetryBudget.withDefaultReserve();
    private int roundRobinIndex;

    ModelNode(String dataCentre) {
        this.dataCentre = dataCentre;
    }

    void addTarget(ModelTarget target, TargetStatistics statistics) {
        views.add(
                new TargetView(
                        target.name(),
                        target.name(),
                        target.dataCentre(),
                        UNUSED_ADDRESS,
                        target.slots(),
                        statistics));
    }

    String dataCentre() {
        return dataCentre;
    }

    List<TargetView> views() {
        return views;
    }

    RetryBudget retryBudget() {
        return retryBudget;
    }

    int nextRoundRobinIndex() {
        roundRobinIndex = (roundRobinIndex + 1) & Integer.MAX_VALUE;
        return roundRobinIndex;
    }

    double latencyMillis(String target) {
        return latencyMillisByTarget.getOrDefault(target, 1.0);
    }

    void recordLatency(String target, double millis) {
        latencyMillisByTarget.merge(
                target, millis, (average, latest) -> average + SMOOTHING * (latest - average));
    }
}
