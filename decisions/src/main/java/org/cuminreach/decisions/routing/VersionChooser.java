package org.cuminreach.decisions.routing;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.decisions.configuration.RolloutPhase;
import org.cuminreach.decisions.configuration.RolloutProgress;
import org.cuminreach.document.Service;

/**
 * Chooses the version of a service that answers a call, by the shares in the configuration. A share
 * never causes a refusal: a version without ready targets is replaced by the other one. The new
 * version replaces the old one only once its rollout is done or has reached a sufficient share.
 */
public final class VersionChooser {
    private static final int FULL_SHARE_PER_MILLE = 1_000;
    private static final int PROVEN_SHARE_PER_MILLE = 500;

    private VersionChooser() {}

    /**
     * Chooses the version for a call.
     *
     * @param configuration active configuration
     * @param service the service
     * @param availability state of its versions, as seen by this node
     * @param random source of randomness
     * @return name of the version
     */
    public static String choose(
            MeshConfiguration configuration,
            Service service,
            VersionAvailability availability,
            RandomGenerator random) {
        Optional<RolloutProgress> known = configuration.rollout(service.name());
        Optional<RolloutProgress> progress =
                known.filter(rollout -> rollout.phase() != RolloutPhase.TAKEN_BACK);
        String oldVersion =
                service.version()
                        .orElseGet(
                                () ->
                                        availability.establishedVersion(
                                                known.map(RolloutProgress::version)));
        if (progress.isEmpty()) {
            return oldVersion;
        }
        int share = progress.get().sharePerMille();
        boolean exhausted =
                share < PROVEN_SHARE_PER_MILLE
                        && availability.isShareExhausted(progress.get().version());
        boolean drawsNew = random.nextInt(FULL_SHARE_PER_MILLE) < share && !exhausted;
        return drawsNew
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
        boolean fallsBackToNew =
                proven
                        && !availability.isReady(oldVersion)
                        && availability.isReady(progress.version());
        return fallsBackToNew ? progress.version() : oldVersion;
    }
}
