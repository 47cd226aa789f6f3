package org.cuminreach.node.quota;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.cuminreach.runtime.administration.Gauges;

/** Metrics of the calls of tenants with quotas at a node. */
final class QuotaMetrics {
    private QuotaMetrics() {}

    /**
     * Registers the metrics.
     *
     * @param registry registry of the node
     * @param quotas supplies the counts
     */
    static void register(PrometheusRegistry registry, QuotaClient quotas) {
        GaugeWithCallback.builder()
                .name("cuminreach_node_quota_calls")
                .help("Calls of tenants with quotas since the start, by what became of them")
                .labelNames("outcome")
                .callback(
                        callback -> {
                            callback.call(quotas.passed(), "passed");
                            callback.call(quotas.overQuota(), "over_quota");
                            callback.call(quotas.withoutGrant(), "no_quota_grant");
                        })
                .register(registry);
        Gauges.register(
                registry,
                "cuminreach_node_quota_waiting_calls",
                "Calls that wait for a token of the control",
                quotas::waiting);
    }
}
