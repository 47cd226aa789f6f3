package org.cuminreach.document;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cuminreach.settings.CheckedJson;
import org.cuminreach.settings.CheckedObject;
import org.cuminreach.settings.Reading;

/** Reads a mesh document and checks it whole: it is accepted, or refused with every reason. */
public final class DocumentReader {
    /** Most bytes a document may have. */
    public static final int LARGEST_DOCUMENT_BYTES = 4 * 1024 * 1024;

    private static final int SHORTEST_TIMEOUT_MILLIS = 1;
    private static final int LONGEST_TIMEOUT_MILLIS = 600_000;
    private static final int DEFAULT_TIMEOUT_MILLIS = 5_000;
    private static final int WHOLE_SHARE_PER_MILLE = 1_000;

    private DocumentReader() {}

    /**
     * Reads a document.
     *
     * @param text JSON, comments allowed
     * @return the document, or every fault
     */
    public static Reading<MeshDocument> read(String text) {
        return CheckedJson.read(text, DocumentReader::document);
    }

    private static MeshDocument document(CheckedObject object) {
        RolloutPriority priority = object.choice("rolloutPriority", RolloutPriority.SAFETY);
        List<Service> services = object.objects("services", entry -> service(entry, priority));
        List<Route> routes = object.objects("routes", DocumentReader::route);
        refuseRepeatedServices(object, services);
        refuseUnusableRoutes(object, services, routes);
        return new MeshDocument(services, routes, priority);
    }

    private static Service service(CheckedObject object, RolloutPriority priority) {
        String name = object.name("name");
        String version = object.name("version");
        Optional<Rollout> rollout = object.object("rollout", entry -> rollout(entry, priority));
        if (rollout.isPresent() && rollout.get().version().equals(version)) {
            object.fault("rollout.version", "is the version that carries traffic already");
        }
        return new Service(name, version, rollout);
    }

    private static Rollout rollout(CheckedObject object, RolloutPriority priority) {
        return new Rollout(
                object.name("version"),
                (int)
                        object.number(
                                "sharePerMille", WHOLE_SHARE_PER_MILLE, 1, WHOLE_SHARE_PER_MILLE),
                object.time("doneBy"),
                object.object("criteria", entry -> RolloutCriteria.read(entry, priority))
                        .orElse(RolloutCriteria.of(priority)));
    }

    private static Route route(CheckedObject object) {
        String pathPrefix = object.text("pathPrefix", "/");
        if (!pathPrefix.startsWith("/")) {
            object.fault("pathPrefix", "is \"" + pathPrefix + "\"; it must start with a slash");
        }
        return new Route(
                object.name("name"),
                object.name("host"),
                pathPrefix,
                object.name("service"),
                (int)
                        object.number(
                                "timeoutMillis",
                                DEFAULT_TIMEOUT_MILLIS,
                                SHORTEST_TIMEOUT_MILLIS,
                                LONGEST_TIMEOUT_MILLIS),
                object.flag("idempotent", false));
    }

    private static void refuseRepeatedServices(CheckedObject object, List<Service> services) {
        Set<String> names = new HashSet<>();
        for (int index = 0; index < services.size(); index++) {
            String name = services.get(index).name();
            if (!names.add(name)) {
                object.fault("services[" + index + "].name", "repeats \"" + name + "\"");
            }
        }
    }

    private static void refuseUnusableRoutes(
            CheckedObject object, List<Service> services, List<Route> routes) {
        Set<String> known = new HashSet<>();
        services.forEach(service -> known.add(service.name()));
        Set<String> names = new HashSet<>();
        Set<String> places = new HashSet<>();
        for (int index = 0; index < routes.size(); index++) {
            Route route = routes.get(index);
            String path = "routes[" + index + "]";
            if (!names.add(route.name())) {
                object.fault(path + ".name", "repeats \"" + route.name() + "\"");
            }
            if (!places.add(route.host() + route.pathPrefix())) {
                object.fault(path, "repeats host and pathPrefix of an earlier route");
            }
            if (!known.contains(route.service())) {
                object.fault(
                        path + ".service",
                        "is \"" + route.service() + "\", which is not among the services");
            }
        }
    }
}
