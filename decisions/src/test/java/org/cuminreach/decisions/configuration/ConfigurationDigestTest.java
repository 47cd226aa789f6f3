package org.cuminreach.decisions.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cuminreach.document.MeshDocument;
import org.cuminreach.document.RolloutPriority;
import org.cuminreach.document.Route;

class ConfigurationDigestTest {
    private static Route route(int number, int timeoutMillis) {
        return Route.toService("r" + number, "a.example", "/" + number, "one", timeoutMillis, true);
    }

    private static MeshConfiguration configuration(long version, List<Route> routes) {
        MeshDocument document = MeshDocument.of(List.of(), routes, RolloutPriority.SAFETY);
        return MeshConfiguration.of(version, version, document, "", List.of());
    }

    /** Guards against cached hashes that change the digest of a later configuration. */
    @Property(seed = "81", tries = 100)
    void digestDoesNotDependOnCachedHashes(@ForAll long seed) {
        Random random = new Random(seed);
        ConfigurationDigest digest = ConfigurationDigest.create();
        List<Route> routes = new ArrayList<>();
        for (int change = 0; change < 30; change++) {
            if (routes.isEmpty() || random.nextInt(3) > 0) {
                routes.add(route(change, 1_000));
            } else {
                routes.set(random.nextInt(routes.size()), route(change, random.nextInt(2_000)));
            }
            MeshConfiguration next = configuration(change, routes);

            assertThat(digest.compute(next)).isEqualTo(ConfigurationDigest.of(next));
        }
    }

    @Example
    void digestIgnoresOrderAndCoversEachField() {
        List<Route> routes = new ArrayList<>(List.of(route(1, 500), route(2, 500)));
        long before = ConfigurationDigest.of(configuration(1, routes));
        Collections.reverse(routes);

        assertThat(ConfigurationDigest.of(configuration(1, routes))).isEqualTo(before);
        assertThat(ConfigurationDigest.of(configuration(2, routes))).isNotEqualTo(before);
        routes.set(0, route(2, 501));
        assertThat(ConfigurationDigest.of(configuration(1, routes))).isNotEqualTo(before);
    }
}
