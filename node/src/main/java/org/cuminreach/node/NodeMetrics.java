package org.cuminreach.node;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.cuminreach.decisions.configuration.ConfigurationHolder;
import org.cuminreach.node.peer.MeshView;
import org.cuminreach.node.poison.PoisonFilter;
import org.cuminreach.node.target.TargetAdmissionHandler;
import org.cuminreach.node.tenant.KeyFreshness;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.runtime.administration.Gauges;
import org.cuminreach.wire.frame.TrafficCounter;

/** Gauges of a node's components. */
final class NodeMetrics {
    private NodeMetrics() {}

    static void register(
            PrometheusRegistry registry,
            ConfigurationHolder configurationHolder,
            MeshView meshView,
            TargetAdmissionHandler admissionHandler,
            KeyFreshness keyFreshness,
            PoisonFilter poisonFilter,
            TrafficCounter controlTraffic) {
        Gauges.register(
                registry,
                "cuminreach_node_configuration_version",
                "Configuration version in force",
                () -> configurationHolder.activeConfiguration().version());
        Gauges.register(
                registry, "cuminreach_node_ready_targets", "Targets seen", meshView::readyCount);
        Gauges.register(
                registry,
                "cuminreach_node_running_calls",
                "Calls at the target",
                admissionHandler::running);
        Gauges.register(
                registry,
                "cuminreach_node_waiting_calls",
                "Calls that wait",
                admissionHandler::waiting);
        Gauges.register(
                registry,
                "cuminreach_node_target_limit_per_second",
                "Calls per second that the target states as its limit, 0 without one",
                admissionHandler::limitPerSecond);
        Gauges.register(
                registry,
                "cuminreach_node_target_cold_limit_per_second",
                "Calls per second that the target withstands while it is cold, 0 when it is warm",
                admissionHandler.coldTarget()::callsPerSecond);
        Gauges.register(
                registry,
                "cuminreach_node_cold_targets",
                "Targets seen that are cold and have a limit",
                () -> meshView.coldCount(ProcessClock.monotonicMillis()));
        Gauges.register(
                registry,
                "cuminreach_node_lowest_target_pace",
                "Lowest share of its capacity for which a target counts after its start",
                () -> meshView.lowestPace(ProcessClock.monotonicMillis()));
        Gauges.register(
                registry,
                "cuminreach_node_poison_requests",
                "Requests that are refused since they crash their targets",
                () -> poisonFilter.refusedCount(ProcessClock.monotonicMillis()));
        Gauges.register(
                registry,
                "cuminreach_node_control_sent_bytes",
                "Bytes sent to controls",
                controlTraffic::sentBytes);
        Gauges.register(
                registry,
                "cuminreach_node_control_received_bytes",
                "Bytes received from controls",
                controlTraffic::receivedBytes);
        Gauges.register(
                registry,
                "cuminreach_node_key_lease_millis",
                "Time for which API keys may pass, 0 without a lease, -1 without a bound",
                () -> keyFreshness.remainingMillis().orElse(-1));
    }
}
