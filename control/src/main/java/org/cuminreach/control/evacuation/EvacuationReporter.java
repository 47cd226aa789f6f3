package org.cuminreach.control.evacuation;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import org.cuminreach.control.replica.ConfigurationListener;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reports on each control which data centres are evacuated, in the log and in metrics. Safe for use
 * by several threads.
 */
public final class EvacuationReporter implements ConfigurationListener {
    private static final Logger LOGGER = LoggerFactory.getLogger(EvacuationReporter.class);

    private List<String> evacuated;

    private EvacuationReporter(List<String> evacuated) {
        this.evacuated = evacuated;
    }

    /**
     * Creates a reporter, and logs the evacuations that are in force already.
     *
     * @param configuration the current configuration
     * @return the reporter
     */
    public static EvacuationReporter create(MeshConfiguration configuration) {
        if (!configuration.evacuatedDataCentres().isEmpty()) {
            LOGGER.info(
                    "event=evacuations_in_force data_centres={}",
                    configuration.evacuatedDataCentres());
        }
        return new EvacuationReporter(configuration.evacuatedDataCentres());
    }

    /**
     * Registers the metrics.
     *
     * @param registry registry of the metrics
     */
    public void register(PrometheusRegistry registry) {
        GaugeWithCallback.builder()
                .name("cuminreach_control_evacuated")
                .help("1 for each data centre that is evacuated")
                .labelNames("data_centre")
                .callback(
                        callback -> evacuated().forEach(dataCentre -> callback.call(1, dataCentre)))
                .register(registry);
    }

    private synchronized List<String> evacuated() {
        return evacuated;
    }

    @Override
    public synchronized void onConfigurationChanged(MeshConfiguration configuration) {
        List<String> before = evacuated;
        evacuated = configuration.evacuatedDataCentres();
        evacuated.stream()
                .filter(dataCentre -> !before.contains(dataCentre))
                .forEach(dataCentre -> log("evacuation_started", dataCentre, configuration));
        before.stream()
                .filter(dataCentre -> !evacuated.contains(dataCentre))
                .forEach(dataCentre -> log("evacuation_ended", dataCentre, configuration));
    }

    private static void log(String event, String dataCentre, MeshConfiguration configuration) {
        LOGGER.info(
                "event={} data_centre={} configuration={}",
                event,
                dataCentre,
                configuration.version());
    }
}
