package org.cuminreach.node.caller;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.document.Idempotence;
import org.cuminreach.document.MeshDocument;
import org.cuminreach.document.RolloutPriority;
import org.cuminreach.document.Route;
import org.cuminreach.document.RouteAccess;

class HomeChangesTest {
    private static Route route(String name, String... homes) {
        return new Route(
                name,
                "a.example",
                "/" + name,
                Route.singleDestination("one"),
                900,
                Idempotence.NEVER,
                2,
                400,
                1,
                "",
                new RouteAccess(false, List.of(homes)));
    }

    private static MeshConfiguration configuration(long version, Route... routes) {
        MeshDocument document = MeshDocument.of(List.of(), List.of(routes), RolloutPriority.SAFETY);
        return MeshConfiguration.of(version, version, document, "", List.of());
    }

    @Example
    void homesOfTheFirstConfigurationCountAsOld() {
        HomeChanges changes = new HomeChanges();
        Route south = route("r", "south");
        assertThat(changes.since(configuration(4, south), south, 100)).isEqualTo(0);
    }

    @Example
    void onlyRoutesWhoseHomesChangeAreAffected() {
        HomeChanges changes = new HomeChanges();
        Route plain = route("plain");
        Route before = route("moved", "south");
        Route after = route("moved", "north");
        changes.since(configuration(1, plain, before), plain, 100);

        MeshConfiguration next = configuration(2, plain, after);
        assertThat(changes.since(next, after, 200)).isEqualTo(200);
        assertThat(changes.since(next, plain, 200)).isEqualTo(0);
        assertThat(changes.since(configuration(3, plain, after), after, 300)).isEqualTo(200);
        Route freed = route("moved");
        assertThat(changes.since(configuration(4, plain, freed), freed, 400)).isEqualTo(400);
    }
}
