package org.cuminreach.decisions.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cuminreach.document.MeshDocument;
import org.cuminreach.document.Route;
import org.cuminreach.document.Service;
import org.cuminreach.document.WeightedService;
import org.cuminreach.settings.Fault;

/**
 * Holds the active configuration of a node. A newer configuration replaces it atomically; one that
 * is older or has missing references is never applied.
 */
public final class ConfigurationHolder {
    private final ConfigurationDigest digest = ConfigurationDigest.create();
    private volatile MeshConfiguration activeConfiguration = MeshConfiguration.empty();

    private ConfigurationHolder() {}

    /**
     * Creates a holder without a configuration.
     *
     * @return a holder of the empty configuration, version 0
     */
    public static ConfigurationHolder empty() {
        return new ConfigurationHolder();
    }

    /**
     * Returns the active configuration.
     *
     * @return the configuration
     */
    public MeshConfiguration activeConfiguration() {
        return activeConfiguration;
    }

    /**
     * Applies a configuration if it is newer and its references resolve.
     *
     * @param offered the configuration
     * @return the outcome
     */
    public synchronized OfferOutcome offer(MeshConfiguration offered) {
        long current = activeConfiguration.version();
        if (offered.version() <= current) {
            return new OfferOutcome.NotNewer(current);
        }
        List<Fault> faults = findMissingReferences(offered);
        if (!faults.isEmpty()) {
            return new OfferOutcome.Refused(current, faults);
        }
        activeConfiguration = offered;
        return new OfferOutcome.Applied(offered.version(), current);
    }

    /**
     * Applies a delta atomically, but only if the digest of the result equals that of the sender's
     * configuration.
     *
     * @param delta the delta
     * @return the outcome
     */
    public synchronized OfferOutcome offer(ConfigurationDelta delta) {
        long current = activeConfiguration.version();
        if (delta.version() <= current) {
            return new OfferOutcome.NotNewer(current);
        }
        if (!delta.isFull() && delta.baseVersion() != current) {
            return new OfferOutcome.NeedsFullConfiguration(current, "base version differs");
        }
        MeshConfiguration base = delta.isFull() ? MeshConfiguration.empty() : activeConfiguration;
        MeshConfiguration result = delta.applyTo(base);
        if (digest.compute(result) == delta.digest()) {
            return offer(result);
        }
        return delta.isFull()
                ? new OfferOutcome.Refused(
                        current, List.of(new Fault("digest", "differs from the whole received")))
                : new OfferOutcome.NeedsFullConfiguration(current, "digest differs");
    }

    private static List<Fault> findMissingReferences(MeshConfiguration offered) {
        List<Fault> faults = new ArrayList<>();
        MeshDocument document = offered.document();
        Set<String> services =
                document.services().stream().map(Service::name).collect(Collectors.toSet());
        for (Route route : document.routes()) {
            for (WeightedService destination : route.destinations()) {
                if (!services.contains(destination.service())) {
                    faults.add(
                            new Fault(
                                    "routes." + route.name(),
                                    "its service " + destination.service() + " is missing"));
                }
            }
        }
        for (Service service : document.services()) {
            if (service.rollout().isPresent() && offered.rollout(service.name()).isEmpty()) {
                faults.add(
                        new Fault(
                                "services." + service.name(),
                                "the progress of its rollout is missing"));
            }
        }
        for (RolloutProgress progress : offered.rollouts()) {
            Optional<String> expected =
                    document.service(progress.service())
                            .flatMap(service -> service.rollout())
                            .map(rollout -> rollout.version());
            if (!expected.equals(Optional.of(progress.version()))) {
                faults.add(
                        new Fault(
                                "rollouts." + progress.service(),
                                "its version " + progress.version() + " is missing"));
            }
        }
        return faults;
    }
}
