package org.cuminreach.wire;

import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cuminreach.decisions.configuration.ConfigurationDelta;
import org.cuminreach.decisions.configuration.KeyedChanges;
import org.cuminreach.document.Rollout;
import org.cuminreach.document.RolloutPriority;
import org.cuminreach.document.Route;
import org.cuminreach.document.Service;
import org.cuminreach.wire.generated.ConfigurationDeltaStruct;
import org.cuminreach.wire.generated.RouteStruct;
import org.cuminreach.wire.generated.ServiceStruct;

/** Converts deltas of configurations. */
public final class DeltaCodec {
    private DeltaCodec() {}

    /**
     * Converts a delta to its struct.
     *
     * @param delta the delta
     * @return the struct
     */
    public static ConfigurationDeltaStruct toStruct(ConfigurationDelta delta) {
        return new ConfigurationDeltaStruct(
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
                delta.digest());
    }

    /**
     * Converts a struct to its delta.
     *
     * @param struct the struct
     * @return the delta
     * @throws MalformedFrameException when a value in it is not known or out of range
     */
    public static ConfigurationDelta toDelta(ConfigurationDeltaStruct struct)
            throws MalformedFrameException {
        List<Service> services = new ArrayList<>();
        for (ServiceStruct service : struct.getServices()) {
            services.add(toService(service));
        }
        return new ConfigurationDelta(
                struct.getBaseVersion(),
                struct.getVersion(),
                struct.getDocumentVersion(),
                toPriority(struct.getRolloutPriority()),
                new KeyedChanges<>(services, struct.getRemovedServices()),
                new KeyedChanges<>(
                        struct.getRoutes().stream().map(DeltaCodec::toRoute).toList(),
                        struct.getRemovedRoutes()),
                new KeyedChanges<>(
                        ConfigurationCodec.toRollouts(struct.getRollouts()),
                        struct.getRemovedRollouts()),
                struct.getDigest());
    }

    private static ServiceStruct toStruct(Service service) {
        ServiceStruct struct = new ServiceStruct(service.name(), service.version());
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

    private static RouteStruct toStruct(Route route) {
        return new RouteStruct(
                route.name(),
                route.host(),
                route.pathPrefix(),
                route.service(),
                route.timeoutMillis(),
                route.idempotent());
    }

    private static Service toService(ServiceStruct struct) throws MalformedFrameException {
        if (!struct.isSetRolloutVersion()) {
            return new Service(struct.getName(), struct.getVersion(), Optional.empty());
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
            return new Service(struct.getName(), struct.getVersion(), Optional.of(rollout));
        } catch (DateTimeException outOfRange) {
            throw new MalformedFrameException("not a time: " + struct);
        }
    }

    private static Route toRoute(RouteStruct struct) {
        return new Route(
                struct.getName(),
                struct.getHost(),
                struct.getPathPrefix(),
                struct.getServiceName(),
                struct.getTimeoutMillis(),
                struct.isIdempotent());
    }

    private static RolloutPriority toPriority(int ordinal) throws MalformedFrameException {
        RolloutPriority[] priorities = RolloutPriority.values();
        if (ordinal < 0 || ordinal >= priorities.length) {
            throw new MalformedFrameException("unknown rollout priority " + ordinal);
        }
        return priorities[ordinal];
    }
}
