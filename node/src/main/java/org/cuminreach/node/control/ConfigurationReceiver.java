package org.cuminreach.node.control;

import java.util.List;
import org.cuminreach.decisions.configuration.ConfigurationDelta;
import org.cuminreach.decisions.configuration.ConfigurationHolder;
import org.cuminreach.decisions.configuration.OfferOutcome;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.settings.Fault;
import org.cuminreach.wire.ConfigurationCodec;
import org.cuminreach.wire.frame.FrameConnection;
import org.cuminreach.wire.generated.ConfigurationReport;
import org.cuminreach.wire.generated.Frame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Applies the configurations that a control sends, and reports to it what the node holds. */
final class ConfigurationReceiver {
    private static final Logger LOGGER = LoggerFactory.getLogger(ConfigurationReceiver.class);

    private final ConfigurationHolder holder;

    ConfigurationReceiver(ConfigurationHolder holder) {
        this.holder = holder;
    }

    /** Applies a configuration if it is newer, and reports the version that the node holds. */
    void apply(FrameConnection from, ConfigurationDelta offered) {
        switch (holder.offer(offered)) {
            case OfferOutcome.Applied applied -> {
                LOGGER.info(
                        "event=configuration_applied configuration={} previous={} at_ms={}",
                        applied.version(),
                        applied.previousVersion(),
                        ProcessClock.wallMillis());
                sendReport(from, List.of());
            }
            case OfferOutcome.NotNewer old -> {
                LOGGER.info(
                        "event=configuration_not_newer held_version={} offered_version={}",
                        old.version(),
                        offered.version());
                sendReport(from, List.of());
            }
            case OfferOutcome.Refused refused -> sendReport(from, refused.faults());
            case OfferOutcome.NeedsFullConfiguration incomplete -> {
                LOGGER.warn(
                        "event=full_configuration_needed held_version={} base_version={}"
                                + " reason=\"{}\"",
                        incomplete.version(),
                        offered.baseVersion(),
                        incomplete.reason());
                from.send(
                        Frame.configurationReport(
                                new ConfigurationReport(incomplete.version()).setNeedsWhole(true)));
            }
        }
    }

    private void sendReport(FrameConnection to, List<Fault> faults) {
        ConfigurationReport report =
                new ConfigurationReport(holder.activeConfiguration().version());
        if (!faults.isEmpty()) {
            LOGGER.error(
                    "event=configuration_refused held_version={} faults={}",
                    holder.activeConfiguration().version(),
                    faults);
            report.setFaults(ConfigurationCodec.toStructs(faults));
        }
        to.send(Frame.configurationReport(report));
    }
}
