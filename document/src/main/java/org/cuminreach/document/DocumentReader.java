package org.cuminreach.document;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cuminreach.settings.CheckedJson;
import org.cuminreach.settings.CheckedObject;
import org.cuminreach.settings.ParseResult;

/** Parses and validates a mesh document: it is accepted, or refused with all its faults. */
public final class DocumentReader {
    /** Maximum size of a document, in bytes. */
    public static final int MAX_DOCUMENT_BYTES = 4 * 1024 * 1024;

    private static final int MIN_TIMEOUT_MILLIS = 1;
    private static final int MAX_TIMEOUT_MILLIS = 600_000;
    private static final int DEFAULT_TIMEOUT_MILLIS = 5_000;
    private static final int FULL_SHARE_PER_MILLE = 1_000;
    private static final int MAX_ATTEMPTS = 100;
    private static final int LOWEST_PRIORITY = 1_000;
    private static final int MAX_WEIGHT = 1_000_000;
    private static final int MAX_CONNECTIONS = 1_000_000;
    private static final int MAX_HEADER_BYTES = 1024 * 1024;
    private static final long MAX_BODY_BYTES = 1024L * 1024 * 1024;
    private static final double MAX_CALLS_PER_SECOND = 10_000_000;
    private static final int MAX_IDLE_TIMEOUT_MILLIS = 86_400_000;

    private DocumentReader() {}

    /**
     * Reads a document.
     *
     * @param text JSON, comments allowed
     * @return the document, or all faults
     */
    public static ParseResult<MeshDocument> read(String text) {
        return CheckedJson.read(text, DocumentReader::document);
    }

    private static MeshDocument document(CheckedObject object) {
        RolloutPriority priority = object.choice("rolloutPriority", RolloutPriority.SAFETY);
        long revision = object.number("revision", 0, 0, Long.MAX_VALUE);
        CallerLimits limits =
                object.object("limits", DocumentReader::limits).orElse(CallerLimits.defaults());
        List<Service> services = object.objects("services", entry -> service(entry, priority));
        List<Route> routes = object.objects("routes", DocumentReader::route);
        List<Tenant> tenants =
                object.has("tenants")
                        ? object.objects("tenants", DocumentReader::tenant)
                        : List.of();
        refuseDuplicateServices(object, services);
        refuseInvalidRoutes(object, services, routes);
        refuseInvalidTenants(object, tenants);
        return new MeshDocument(revision, services, routes, priority, limits, tenants);
    }

    private static Service service(CheckedObject object, RolloutPriority priority) {
        String name = object.name("name");
        Optional<String> version =
                object.has("version") ? Optional.of(object.name("version")) : Optional.empty();
        Optional<Rollout> rollout = object.object("rollout", entry -> rollout(entry, priority));
        if (rollout.isPresent() && rollout.map(Rollout::version).equals(version)) {
            object.addFault("rollout.version", "is the version that carries traffic already");
        }
        TargetAccess access =
                object.object("targets", DocumentReader::access).orElse(TargetAccess.defaults());
        ColdStart coldStart =
                object.object("coldStart", DocumentReader::coldStart).orElse(ColdStart.none());
        return new Service(name, version, rollout, access, coldStart);
    }

    private static Rollout rollout(CheckedObject object, RolloutPriority priority) {
        return new Rollout(
                object.name("version"),
                (int) object.number("sharePerMille", FULL_SHARE_PER_MILLE, 1, FULL_SHARE_PER_MILLE),
                object.time("doneBy"),
                object.object("criteria", entry -> RolloutCriteria.read(entry, priority))
                        .orElse(RolloutCriteria.defaultsFor(priority)));
    }

    private static Route route(CheckedObject object) {
        String pathPrefix = object.text("pathPrefix", "/");
        if (!pathPrefix.startsWith("/")) {
            object.addFault("pathPrefix", "is \"" + pathPrefix + "\"; it must start with a slash");
        }
        int timeoutMillis =
                (int)
                        object.number(
                                "timeoutMillis",
                                DEFAULT_TIMEOUT_MILLIS,
                                MIN_TIMEOUT_MILLIS,
                                MAX_TIMEOUT_MILLIS);
        return new Route(
                object.name("name"),
                object.name("host"),
                pathPrefix,
                destinations(object),
                timeoutMillis,
                idempotence(object),
                (int) object.number("maxAttempts", Route.DEFAULT_MAX_ATTEMPTS, 1, MAX_ATTEMPTS),
                (int) object.number("latencyObjectiveMillis", timeoutMillis, 0, MAX_TIMEOUT_MILLIS),
                (int) object.number("priority", 0, 0, LOWEST_PRIORITY),
                object.text("kind", ""),
                new RouteAccess(object.flag("public", false), homeRegions(object)));
    }

    private static List<String> homeRegions(CheckedObject object) {
        return object.has("homeRegions") ? object.texts("homeRegions") : List.of();
    }

    private static ColdStart coldStart(CheckedObject object) {
        return new ColdStart(
                object.number("durationMillis", 0, 0, MAX_TIMEOUT_MILLIS),
                object.decimal("callsPerSecond", 0, 0, MAX_CALLS_PER_SECOND));
    }

    private static Tenant tenant(CheckedObject object) {
        return new Tenant(
                object.name("name"),
                object.texts("keys").stream().map(ApiKey::ofText).toList(),
                (int) object.number("priority", 0, 0, LOWEST_PRIORITY),
                object.decimal("ratePerSecond", 0, 0, MAX_CALLS_PER_SECOND),
                object.decimal("burst", 0, 0, MAX_CALLS_PER_SECOND),
                homeRegions(object));
    }

    private static List<WeightedService> destinations(CheckedObject object) {
        if (!object.has("split")) {
            return Route.singleDestination(object.name("service"));
        }
        if (object.has("service")) {
            object.addFault("split", "stands beside service; a route has one of them");
        }
        List<WeightedService> split = object.objects("split", DocumentReader::destination);
        if (split.stream().mapToLong(WeightedService::weight).sum() == 0) {
            object.addFault("split", "has no weight above 0");
            return Route.singleDestination("");
        }
        return split;
    }

    private static WeightedService destination(CheckedObject object) {
        return new WeightedService(
                object.name("service"), (int) object.number("weight", 0, MAX_WEIGHT));
    }

    private static Idempotence idempotence(CheckedObject object) {
        if (!object.has("idempotent")) {
            return Idempotence.BY_METHOD;
        }
        return object.flag("idempotent", false) ? Idempotence.ALWAYS : Idempotence.NEVER;
    }

    private static TargetAccess access(CheckedObject object) {
        TargetAccess defaults = TargetAccess.defaults();
        return new TargetAccess(
                object.text("healthPath", defaults.healthPath()),
                (int)
                        object.number(
                                "maxConnections", defaults.maxConnections(), 1, MAX_CONNECTIONS),
                object.text("protocol", defaults.protocol()),
                object.flag("tls", defaults.tls()));
    }

    private static CallerLimits limits(CheckedObject object) {
        CallerLimits defaults = CallerLimits.defaults();
        return new CallerLimits(
                (int)
                        object.number(
                                "maxHeaderBytes", defaults.maxHeaderBytes(), 1, MAX_HEADER_BYTES),
                object.number("maxBodyBytes", defaults.maxBodyBytes(), 0, MAX_BODY_BYTES),
                (int)
                        object.number(
                                "headerTimeoutMillis",
                                defaults.headerTimeoutMillis(),
                                1,
                                MAX_TIMEOUT_MILLIS),
                (int)
                        object.number(
                                "idleTimeoutMillis",
                                defaults.idleTimeoutMillis(),
                                1,
                                MAX_IDLE_TIMEOUT_MILLIS));
    }

    private static void refuseDuplicateServices(CheckedObject object, List<Service> services) {
        Set<String> names = new HashSet<>();
        for (int index = 0; index < services.size(); index++) {
            String name = services.get(index).name();
            if (!names.add(name)) {
                object.addFault("services[" + index + "].name", "repeats \"" + name + "\"");
            }
        }
    }

    /** Refuses names and keys that are used twice. A fault names a key by its place only. */
    private static void refuseInvalidTenants(CheckedObject object, List<Tenant> tenants) {
        Set<String> names = new HashSet<>();
        Set<ApiKey> keys = new HashSet<>();
        for (int index = 0; index < tenants.size(); index++) {
            Tenant tenant = tenants.get(index);
            String path = "tenants[" + index + "]";
            if (!names.add(tenant.name())) {
                object.addFault(path + ".name", "repeats \"" + tenant.name() + "\"");
            }
            for (int position = 0; position < tenant.keys().size(); position++) {
                ApiKey key = tenant.keys().get(position);
                String keyPath = path + ".keys[" + position + "]";
                if (key.text().orElse("").isBlank()) {
                    object.addFault(keyPath, "is empty");
                } else if (!keys.add(key)) {
                    object.addFault(keyPath, "repeats a key of this or another tenant");
                }
            }
        }
    }

    private static void refuseInvalidRoutes(
            CheckedObject object, List<Service> services, List<Route> routes) {
        Set<String> known = new HashSet<>();
        services.forEach(service -> known.add(service.name()));
        Set<String> names = new HashSet<>();
        Set<String> hostsAndPrefixes = new HashSet<>();
        for (int index = 0; index < routes.size(); index++) {
            Route route = routes.get(index);
            String path = "routes[" + index + "]";
            if (!names.add(route.name())) {
                object.addFault(path + ".name", "repeats \"" + route.name() + "\"");
            }
            if (!hostsAndPrefixes.add(route.host() + route.pathPrefix())) {
                object.addFault(path, "repeats host and pathPrefix of an earlier route");
            }
            refuseUnknownDestinations(object, path, route, known);
        }
    }

    private static void refuseUnknownDestinations(
            CheckedObject object, String path, Route route, Set<String> known) {
        for (WeightedService destination : route.destinations()) {
            if (!known.contains(destination.service())) {
                object.addFault(
                        path + (route.isSplit() ? ".split" : ".service"),
                        "is \"" + destination.service() + "\", which is not among the services");
            }
        }
    }
}
