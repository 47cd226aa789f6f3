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
 * The configuration in force on a node. A newer one replaces it in one step, whole; an older one or
 * one with a gap never does.
 */
public final class ConfigurationHolder {
    private final ConfigurationDigest digest = ConfigurationDigest.create();
    private volatile MeshConfiguration activeConfiguration = MeshConfiguration.empty();

    private ConfigurationHolder() {}

    /**
     * Returns a holder without a configuration.
     *
     * @return an empty holder, at version 0
     */
    public static ConfigurationHolder empty() {
        return new ConfigurationHolder();
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration
     */
    public MeshConfiguration activeConfiguration() {
        return activeConfiguration;
    }

    /**
     * Offers a configuration.
     *
     * @param offered the configuration
     * @return whether it is in force now
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
     * Offers a delta. It is applied whole, in one step, and only when its result is what its sender
     * holds.
     *
     * @param delta the delta
     * @return whether its result is in force now
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
        Set<String> known =
                document.services().stream().map(Service::name).collect(Collectors.toSet());
        for (Route route : document.routes()) {
            for (WeightedService destination : route.destinations()) {
                if (!known.contains(destination.service())) {
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
            Optional<String> wanted =
                    document.service(progress.service())
                            .flatMap(service -> service.rollout())
                            .map(rollout -> rollout.version());
            if (!wanted.equals(Optional.of(progress.version()))) {
                faults.add(
                        new Fault(
                                "rollouts." + progress.service(),
                                "its version " + progress.version() + " is missing"));
            }
        }
        return faults;
    }
}
