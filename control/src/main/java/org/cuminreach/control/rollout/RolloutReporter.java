package org.cuminreach.control.rollout;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.cuminreach.control.replica.ConfigurationListener;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.decisions.configuration.RolloutPhase;
import org.cuminreach.decisions.configuration.RolloutProgress;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reports the outcomes of rollouts in the log and in metrics. Safe for use by several threads. */
public final class RolloutReporter implements ConfigurationListener {
    private static final Logger LOGGER = LoggerFactory.getLogger(RolloutReporter.class);
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final Map<String, RolloutProgress> rollouts = new HashMap<>();
    private final Counter outcomes =
            Counter.builder()
                    .withoutExemplars()
                    .name("cuminreach_control_rollout_outcomes")
                    .help("Rollouts that were done, taken back or found late")
                    .labelNames("outcome")
                    .build();
    private final Histogram verdictSeconds =
            Histogram.builder()
                    .name("cuminreach_control_rollout_verdict_seconds")
                    .help("Time from acceptance of a rollout until it was done or taken back")
                    .classicOnly()
                    .classicUpperBounds(1, 5, 15, 60, 300, 900, 3_600, 86_400)
                    .labelNames("outcome")
                    .build();

    private RolloutReporter(MeshConfiguration configuration) {
        configuration.rollouts().forEach(progress -> rollouts.put(progress.service(), progress));
    }

    /**
     * Returns a reporter.
     *
     * @param configuration the current configuration, whose rollouts are not reported again
     * @return the reporter
     */
    public static RolloutReporter create(MeshConfiguration configuration) {
        return new RolloutReporter(configuration);
    }

    /**
     * Registers the metrics.
     *
     * @param registry registry of the metrics
     */
    public void register(PrometheusRegistry registry) {
        registry.register(outcomes);
        registry.register(verdictSeconds);
        GaugeWithCallback.builder()
                .name("cuminreach_control_rollout_share_per_mille")
                .help("Share of calls that the new version of a service carries")
                .labelNames("service", "version", "phase")
                .callback(this::collectShares)
                .register(registry);
    }

    @Override
    public synchronized void onConfigurationChanged(MeshConfiguration configuration) {
        Map<String, RolloutProgress> before = new HashMap<>(rollouts);
        rollouts.clear();
        for (RolloutProgress progress : configuration.rollouts()) {
            rollouts.put(progress.service(), progress);
            Optional<RolloutPhase> phaseBefore =
                    Optional.ofNullable(before.get(progress.service()))
                            .filter(earlier -> earlier.version().equals(progress.version()))
                            .map(RolloutProgress::phase);
            if (!phaseBefore.equals(Optional.of(progress.phase()))) {
                report(progress);
            }
        }
    }

    private void report(RolloutProgress progress) {
        if (progress.phase() == RolloutPhase.MOVING) {
            return;
        }
        String outcome = progress.phase().name().toLowerCase(Locale.ROOT);
        double seconds = (progress.steppedMillis() - progress.startedMillis()) / MILLIS_PER_SECOND;
        outcomes.labelValues(outcome).inc();
        if (!progress.phase().isInProgress()) {
            verdictSeconds.labelValues(outcome).observe(seconds);
        }
        LOGGER.info(
                "event=rollout_{} service={} version={} share_per_mille={} seconds={}"
                        + " reason=\"{}\"",
                outcome,
                progress.service(),
                progress.version(),
                progress.sharePerMille(),
                seconds,
                progress.reason());
    }

    private synchronized void collectShares(GaugeWithCallback.Callback callback) {
        for (RolloutProgress progress : rollouts.values()) {
            callback.call(
                    progress.sharePerMille(),
                    progress.service(),
                    progress.version(),
                    progress.phase().name().toLowerCase(Locale.ROOT));
        }
    }
}
