package org.cuminreach.control;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.cuminreach.control.node.Convergence;
import org.cuminreach.control.node.NodeSessionManager;
import org.cuminreach.control.replica.ReplicaDriver;
import org.cuminreach.runtime.administration.Gauges;
import org.cuminreach.wire.frame.TrafficCounter;

/** Gauges of a control's replica and of its sessions with nodes. */
final class ControlMetrics {
    private ControlMetrics() {}

    static void register(
            PrometheusRegistry registry,
            ReplicaDriver replica,
            NodeSessionManager sessions,
            TrafficCounter nodeTraffic) {
        Gauges.register(
                registry, "cuminreach_control_sessions", "Nodes here", sessions::sessionCount);
        Gauges.register(
                registry,
                "cuminreach_control_configuration_version",
                "Agreed configuration version known here",
                () -> replica.configuration().version());
        Gauges.register(
                registry,
                "cuminreach_control_unapplied_entries",
                "Committed entries that are not applied yet",
                replica::unappliedEntries);
        Gauges.register(
                registry,
                "cuminreach_control_leads",
                "1 on the leader",
                () -> replica.isLeader() ? 1 : 0);
        Gauges.register(
                registry,
                "cuminreach_control_node_sent_bytes",
                "Bytes sent to nodes",
                nodeTraffic::sentBytes);
        Gauges.register(
                registry,
                "cuminreach_control_node_received_bytes",
                "Bytes received from nodes",
                nodeTraffic::receivedBytes);
        Gauges.register(
                registry,
                "cuminreach_control_lagging_nodes",
                "Nodes that lack the agreed configuration",
                () -> laggingNodes(replica, sessions));
        Gauges.register(
                registry,
                "cuminreach_control_withheld_leases",
                "Targets kept as last known although their leases are over",
                sessions::withheldLeases);
        GaugeWithCallback.builder()
                .name("cuminreach_control_redirected_nodes")
                .help("Nodes sent away since the start, by reason")
                .labelNames("reason")
                .callback(
                        callback ->
                                sessions.redirectsByReason()
                                        .forEach((reason, count) -> callback.call(count, reason)))
                .register(registry);
    }

    private static int laggingNodes(ReplicaDriver replica, NodeSessionManager sessions) {
        Convergence convergence = sessions.convergence(replica.configuration().version(), 0);
        return convergence.nodes() - convergence.holding();
    }
}
