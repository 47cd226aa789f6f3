package org.cuminreach.control.quota;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Metrics of the quotas at a control. */
public final class QuotaMetrics {
    private QuotaMetrics() {}

    /**
     * Registers the metrics.
     *
     * @param registry registry of the control
     * @param quotas supplies the figures
     */
    public static void register(PrometheusRegistry registry, QuotaService quotas) {
        GaugeWithCallback.builder()
                .name("cuminreach_control_quota_tokens")
                .help("Tokens for calls of tenants since the start, by what became of them")
                .labelNames("outcome")
                .callback(
                        callback ->
                                quotas.tokensByOutcome()
                                        .forEach((outcome, count) -> callback.call(count, outcome)))
                .register(registry);
        GaugeWithCallback.builder()
                .name("cuminreach_control_quota_share")
                .help("Share of each quota that this control grants")
                .callback(callback -> callback.call(quotas.share()))
                .register(registry);
    }
}
