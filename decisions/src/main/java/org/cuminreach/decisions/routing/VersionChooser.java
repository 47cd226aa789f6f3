package org.cuminreach.decisions.routing;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.decisions.configuration.RolloutPhase;
import org.cuminreach.decisions.configuration.RolloutProgress;
import org.cuminreach.document.Service;

/** Chooses which version of a service answers a call, by the shares in the configuration. */
public final class VersionChooser {
    private static final int WHOLE_PER_MILLE = 1_000;

    private VersionChooser() {}

    /**
     * Chooses a version.
     *
     * @param configuration configuration in force
     * @param service the service
     * @param random source of the draw
     * @return name of the version
     */
    public static String choose(
            MeshConfiguration configuration, Service service, RandomGenerator random) {
        Optional<RolloutProgress> progress =
                configuration
                        .rollout(service.name())
                        .filter(rollout -> rollout.phase() != RolloutPhase.TAKEN_BACK);
        boolean drawn =
                progress.isPresent()
                        && random.nextInt(WHOLE_PER_MILLE) < progress.get().sharePerMille();
        return drawn ? progress.get().version() : service.version();
    }
}
