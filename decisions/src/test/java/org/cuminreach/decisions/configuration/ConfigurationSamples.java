package org.cuminreach.decisions.configuration;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.cuminreach.document.MeshDocument;
import org.cuminreach.document.Rollout;
import org.cuminreach.document.RolloutCriteria;
import org.cuminreach.document.RolloutPriority;
import org.cuminreach.document.Route;
import org.cuminreach.document.Service;

/** Random configurations, whose references all resolve, for property tests. */
final class ConfigurationSamples {
    private static final int MAX_SERVICES = 6;
    private static final Instant DONE_BY = Instant.ofEpochSecond(1_800_000_000L, 500);

    private ConfigurationSamples() {}

    /** Returns random configurations with increasing versions. */
    static List<MeshConfiguration> history(long seed, int length) {
        Random random = new Random(seed);
        List<MeshConfiguration> history = new ArrayList<>();
        long version = 0;
        for (int index = 0; index < length; index++) {
            version += 1 + random.nextInt(3);
            history.add(randomConfiguration(version, random));
        }
        return history;
    }

    private static MeshConfiguration randomConfiguration(long version, Random random) {
        List<Service> services = new ArrayList<>();
        List<Route> routes = new ArrayList<>();
        List<RolloutProgress> rollouts = new ArrayList<>();
        for (int index = 0; index < MAX_SERVICES; index++) {
            if (random.nextInt(3) == 0) {
                continue;
            }
            String name = "service-" + index;
            boolean hasRollout = random.nextInt(3) == 0;
            Optional<Rollout> rollout =
                    hasRollout
                            ? Optional.of(
                                    new Rollout(
                                            "next",
                                            1_000,
                                            DONE_BY,
                                            RolloutCriteria.defaultsFor(RolloutPriority.SAFETY)))
                            : Optional.empty();
            services.add(Service.of(name, "v" + random.nextInt(3), rollout));
            if (hasRollout) {
                rollouts.add(progress(name, random.nextInt(1_001)));
            }
            if (random.nextBoolean()) {
                routes.add(route("route-" + index, name, 1 + random.nextInt(3)));
            }
        }
        RolloutPriority priority = RolloutPriority.values()[random.nextInt(2)];
        MeshDocument document = MeshDocument.of(services, routes, priority);
        return MeshConfiguration.of(version, version, document, "text", rollouts);
    }

    static Route route(String name, String service, int timeoutMillis) {
        return Route.toService(name, name + ".example", "/", service, timeoutMillis, false);
    }

    static RolloutProgress progress(String service, int sharePerMille) {
        return new RolloutProgress(
                service, "next", RolloutPhase.MOVING, sharePerMille, 1, 2, "test");
    }
}
