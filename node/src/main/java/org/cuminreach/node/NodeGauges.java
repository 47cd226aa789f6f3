package org.cuminreach.node;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.cuminreach.node.target.TargetAdmissionHandler;
import org.cuminreach.runtime.administration.Gauges;
import org.cuminreach.wire.frame.TrafficCounter;

/** Gauges of the calls at the target and of the traffic with controls. */
final class NodeGauges {
    private NodeGauges() {}

    static void register(
            PrometheusRegistry registry, TargetAdmissionHandler admission, TrafficCounter traffic) {
        Gauges.register(
                registry,
                "cuminreach_node_running_calls",
                "Calls at the target",
                admission::running);
        Gauges.register(
                registry, "cuminreach_node_waiting_calls", "Calls that wait", admission::waiting);
        Gauges.register(
                registry,
                "cuminreach_node_control_sent_bytes",
                "Bytes sent to controls",
                traffic::sentBytes);
        Gauges.register(
                registry,
                "cuminreach_node_control_received_bytes",
                "Bytes received from controls",
                traffic::receivedBytes);
    }
}
