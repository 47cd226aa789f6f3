package org.cuminreach.wire;

import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cuminreach.decisions.configuration.ConfigurationDelta;
import org.cuminreach.decisions.configuration.KeyedChanges;
import org.cuminreach.document.ApiKey;
import org.cuminreach.document.CallerLimits;
import org.cuminreach.document.ColdStart;
import org.cuminreach.document.Idempotence;
import org.cuminreach.document.Rollout;
import org.cuminreach.document.RolloutPriority;
import org.cuminreach.document.Route;
import org.cuminreach.document.RouteAccess;
import org.cuminreach.document.Service;
import org.cuminreach.document.TargetAccess;
import org.cuminreach.document.Tenant;
import org.cuminreach.document.WeightedService;
import org.cuminreach.wire.generated.ConfigurationDeltaStruct;
import org.cuminreach.wire.generated.LimitsStruct;
import org.cuminreach.wire.generated.RouteStruct;
import org.cuminreach.wire.generated.ServiceStruct;
import org.cuminreach.wire.generated.TargetAccessStruct;
import org.cuminreach.wire.generated.TenantStruct;
import org.cuminreach.wire.generated.WeightedServiceStruct;

/** Converts between configuration deltas and their Thrift structs. */
public final class DeltaCodec {
    private static final String NO_VERSION = "";

    private DeltaCodec() {}

    /**
     * Converts a delta to its struct.
     *
     * @param delta the delta
     * @return the struct
     */
    public static ConfigurationDeltaStruct toStruct(ConfigurationDelta delta) {
        ConfigurationDeltaStruct struct =
                new ConfigurationDeltaStruct(
                        delta.baseVersion(),
                        delta.version(),
                        delta.documentVersion(),
                        delta.rolloutPriority().ordinal(),
                        delta.services().put().stream().map(DeltaCodec::toStruct).toList(),
                        delta.services().removed(),
                        delta.routes().put().stream().map(DeltaCodec::toStruct).toList(),
                        delta.routes().removed(),
                        delta.rollouts().put().stream().map(ConfigurationCodec::toStruct).toList(),
                        delta.rollouts().removed(),
                        delta.digest(),
                        delta.revision(),
                        toStruct(delta.limits()));
        if (!delta.tenants().put().isEmpty()) {
            struct.setTenants(delta.tenants().put().stream().map(DeltaCodec::toStruct).toList());
        }
        if (!delta.tenants().removed().isEmpty()) {
            struct.setRemovedTenants(delta.tenants().removed());
        }
        if (!delta.evacuatedDataCentres().isEmpty()) {
            struct.setEvacuatedDataCentres(delta.evacuatedDataCentres());
        }
        return struct;
    }

    /**
     * Converts a struct to its delta.
     *
     * @param struct the struct
     * @return the delta
     * @throws MalformedFrameException when a value in it is unknown or out of range
     */
    public static ConfigurationDelta toDelta(ConfigurationDeltaStruct struct)
            throws MalformedFrameException {
        List<Service> services = new ArrayList<>();
        for (ServiceStruct service : struct.getServices()) {
            services.add(toService(service));
        }
        List<Route> routes = new ArrayList<>();
        for (RouteStruct route : struct.getRoutes()) {
            routes.add(toRoute(route));
        }
        return new ConfigurationDelta(
                struct.getBaseVersion(),
                struct.getVersion(),
                struct.getDocumentVersion(),
                toPriority(struct.getRolloutPriority()),
                new KeyedChanges<>(services, struct.getRemovedServices()),
                new KeyedChanges<>(routes, struct.getRemovedRoutes()),
                new KeyedChanges<>(
                        ConfigurationCodec.toRollouts(struct.getRollouts()),
                        struct.getRemovedRollouts()),
                struct.getDigest(),
                struct.getRevision(),
                toLimits(struct.getLimits()),
                new KeyedChanges<>(
                        listOrEmpty(struct.getTenants()).stream()
                                .map(DeltaCodec::toTenant)
                                .toList(),
                        listOrEmpty(struct.getRemovedTenants())),
                listOrEmpty(struct.getEvacuatedDataCentres()));
    }

    /** Returns an optional list of a struct, which is null when the sender left it out. */
    private static <T> List<T> listOrEmpty(List<T> list) {
        return list == null ? List.of() : list;
    }

    private static TenantStruct toStruct(Tenant tenant) {
        return new TenantStruct(
                        tenant.name(),
                        tenant.keys().stream().map(ApiKey::digest).toList(),
                        tenant.priority(),
                        tenant.ratePerSecond(),
                        tenant.burst())
                .setHomeRegions(tenant.homeRegions());
    }

    private static Tenant toTenant(TenantStruct struct) {
        return new Tenant(
                struct.getName(),
                struct.getKeyDigests().stream().map(ApiKey::ofDigest).toList(),
                struct.getPriority(),
                struct.getRatePerSecond(),
                struct.getBurst(),
                listOrEmpty(struct.getHomeRegions()));
    }

    private static ServiceStruct toStruct(Service service) {
        ServiceStruct struct =
                new ServiceStruct(service.name(), service.version().orElse(NO_VERSION));
        struct.setAccess(toStruct(service.access()));
        if (!service.coldStart().equals(ColdStart.none())) {
            struct.setColdStartMillis(service.coldStart().durationMillis())
                    .setColdCallsPerSecond(service.coldStart().callsPerSecond());
        }
        service.rollout()
                .ifPresent(
                        rollout ->
                                struct.setRolloutVersion(rollout.version())
                                        .setSharePerMille(rollout.sharePerMille())
                                        .setDoneBySeconds(rollout.doneBy().getEpochSecond())
                                        .setDoneByNanos(rollout.doneBy().getNano())
                                        .setCriteria(CriteriaCodec.toStruct(rollout.criteria())));
        return struct;
    }

    private static TargetAccessStruct toStruct(TargetAccess access) {
        return new TargetAccessStruct(
                access.healthPath(), access.maxConnections(), access.protocol(), access.tls());
    }

    private static LimitsStruct toStruct(CallerLimits limits) {
        return new LimitsStruct(
                limits.maxHeaderBytes(),
                limits.maxBodyBytes(),
                limits.headerTimeoutMillis(),
                limits.idleTimeoutMillis());
    }

    private static RouteStruct toStruct(Route route) {
        RouteStruct struct =
                new RouteStruct(
                        route.name(),
                        route.host(),
                        route.pathPrefix(),
                        route.timeoutMillis(),
                        route.destinations().stream()
                                .map(
                                        destination ->
                                                new WeightedServiceStruct(
                                                        destination.service(),
                                                        destination.weight()))
                                .toList(),
                        route.idempotence().ordinal(),
                        route.maxAttempts(),
                        route.latencyObjectiveMillis(),
                        route.priority());
        if (!route.kind().isEmpty()) {
            struct.setKind(route.kind());
        }
        if (!route.access().equals(RouteAccess.unrestricted())) {
            struct.setPublicAccess(route.access().isPublic())
                    .setHomeRegions(route.access().homeRegions());
        }
        return struct;
    }

    private static Service toService(ServiceStruct struct) throws MalformedFrameException {
        if (!struct.isSetRolloutVersion()) {
            return toService(struct, Optional.empty());
        }
        try {
            Instant doneBy =
                    Instant.ofEpochSecond(struct.getDoneBySeconds(), struct.getDoneByNanos());
            Rollout rollout =
                    new Rollout(
                            struct.getRolloutVersion(),
                            struct.getSharePerMille(),
                            doneBy,
                            CriteriaCodec.toCriteria(struct.getCriteria()));
            return toService(struct, Optional.of(rollout));
        } catch (DateTimeException outOfRange) {
            throw new MalformedFrameException("rollout deadline out of range: " + struct);
        }
    }

    private static Service toService(ServiceStruct struct, Optional<Rollout> rollout) {
        Optional<String> version =
                Optional.of(struct.getVersion()).filter(named -> !named.equals(NO_VERSION));
        TargetAccessStruct access = struct.getAccess();
        return new Service(
                struct.getName(),
                version,
                rollout,
                access == null
                        ? TargetAccess.defaults()
                        : new TargetAccess(
                                access.getHealthPath(),
                                access.getMaxConnections(),
                                access.getProtocol(),
                                access.isTls()),
                struct.isSetColdStartMillis()
                        ? new ColdStart(struct.getColdStartMillis(), struct.getColdCallsPerSecond())
                        : ColdStart.none());
    }

    private static CallerLimits toLimits(LimitsStruct struct) {
        return new CallerLimits(
                struct.getMaxHeaderBytes(),
                struct.getMaxBodyBytes(),
                struct.getHeaderTimeoutMillis(),
                struct.getIdleTimeoutMillis());
    }

    private static Route toRoute(RouteStruct struct) throws MalformedFrameException {
        Idempotence[] idempotences = Idempotence.values();
        boolean valid =
                !struct.getDestinations().isEmpty()
                        && struct.getIdempotence() >= 0
                        && struct.getIdempotence() < idempotences.length;
        if (!valid) {
            throw new MalformedFrameException(
                    "missing destinations or unknown idempotence in route: " + struct);
        }
        return new Route(
                struct.getName(),
                struct.getHost(),
                struct.getPathPrefix(),
                struct.getDestinations().stream()
                        .map(
                                destination ->
                                        new WeightedService(
                                                destination.getServiceName(),
                                                destination.getWeight()))
                        .toList(),
                struct.getTimeoutMillis(),
                idempotences[struct.getIdempotence()],
                struct.getMaxAttempts(),
                struct.getLatencyObjectiveMillis(),
                struct.getPriority(),
                struct.isSetKind() ? struct.getKind() : "",
                struct.isSetPublicAccess()
                        ? new RouteAccess(
                                struct.isPublicAccess(), listOrEmpty(struct.getHomeRegions()))
                        : RouteAccess.unrestricted());
    }

    private static RolloutPriority toPriority(int ordinal) throws MalformedFrameException {
        RolloutPriority[] priorities = RolloutPriority.values();
        if (ordinal < 0 || ordinal >= priorities.length) {
            throw new MalformedFrameException("unknown rollout priority " + ordinal);
        }
        return priorities[ordinal];
    }
}
