package org.cuminreach.decisions.routing;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.decisions.configuration.RolloutPhase;
import org.cuminreach.decisions.configuration.RolloutProgress;
import org.cuminreach.document.Service;

/**
 * Chooses which version of a service answers a call, by the shares in the configuration. A share
 * never causes a refusal: a version without ready targets gives way to the other one, the old one
 * to the new one only once the new one has proved itself.
 */
public final class VersionChooser {
    private static final int FULL_SHARE_PER_MILLE = 1_000;
    private static final int PROVEN_SHARE_PER_MILLE = 500;

    private VersionChooser() {}

    /**
     * Chooses a version.
     *
     * @param configuration configuration in force
     * @param service the service
     * @param availability what the node knows of its versions
     * @param random source of the draw
     * @return name of the version
     */
    public static String choose(
            MeshConfiguration configuration,
            Service service,
            VersionAvailability availability,
            RandomGenerator random) {
        Optional<RolloutProgress> progress =
                configuration
                        .rollout(service.name())
                        .filter(rollout -> rollout.phase() != RolloutPhase.TAKEN_BACK);
        String oldVersion = service.version().orElseGet(availability::establishedVersion);
        if (progress.isEmpty()) {
            return oldVersion;
        }
        int share = progress.get().sharePerMille();
        boolean spent =
                share < PROVEN_SHARE_PER_MILLE
                        && availability.isShareExhausted(progress.get().version());
        boolean drawn = random.nextInt(FULL_SHARE_PER_MILLE) < share && !spent;
        return drawn
                ? preferNew(oldVersion, progress.get().version(), availability)
                : preferOld(oldVersion, progress.get(), availability);
    }

    private static String preferNew(
            String oldVersion, String newVersion, VersionAvailability availability) {
        boolean ready = availability.isReady(newVersion);
        if (ready && !availability.isCircuitOpen(newVersion)) {
            return newVersion;
        }
        return ready && !availability.isReady(oldVersion) ? newVersion : oldVersion;
    }

    private static String preferOld(
            String oldVersion, RolloutProgress progress, VersionAvailability availability) {
        boolean proven =
                progress.phase() == RolloutPhase.DONE
                        || progress.sharePerMille() >= PROVEN_SHARE_PER_MILLE;
        boolean instead =
                proven
                        && !availability.isReady(oldVersion)
                        && availability.isReady(progress.version());
        return instead ? progress.version() : oldVersion;
    }
}
