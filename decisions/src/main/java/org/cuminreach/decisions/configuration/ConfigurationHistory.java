package org.cuminreach.decisions.configuration;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Set;
import org.cuminreach.document.Route;
import org.cuminreach.document.Service;
import org.cuminreach.document.Tenant;

/**
 * The latest configuration with the names changed by each recent version, from which deltas since
 * those versions are computed. Not thread-safe.
 */
public final class ConfigurationHistory {
    /**
     * Maximum number of retained steps; a node with an older version gets the full configuration.
     */
    public static final int MAX_STEPS = 1_024;

    /** The names that differ between a version and the next one. */
    private record Step(
            long fromVersion,
            Set<String> services,
            Set<String> routes,
            Set<String> rollouts,
            Set<String> tenants) {}

    private final Deque<Step> steps = new ArrayDeque<>();
    private final ConfigurationDigest digests = ConfigurationDigest.create();
    private MeshConfiguration current;
    private long digest;

    private ConfigurationHistory(MeshConfiguration current) {
        this.current = current;
        this.digest = digests.compute(current);
    }

    /**
     * Creates a history without earlier versions.
     *
     * @param current the latest configuration
     * @return the history
     */
    public static ConfigurationHistory of(MeshConfiguration current) {
        return new ConfigurationHistory(current);
    }

    /**
     * Returns the latest configuration.
     *
     * @return the configuration
     */
    public MeshConfiguration current() {
        return current;
    }

    /**
     * Adds a configuration; one that is not newer than the latest is ignored.
     *
     * @param next the configuration
     */
    public void advance(MeshConfiguration next) {
        if (next.version() <= current.version()) {
            return;
        }
        steps.addLast(
                new Step(
                        current.version(),
                        KeyedChanges.changedNames(
                                current.document().services(),
                                next.document().services(),
                                Service::name),
                        KeyedChanges.changedNames(
                                current.document().routes(), next.document().routes(), Route::name),
                        KeyedChanges.changedNames(
                                current.rollouts(), next.rollouts(), RolloutProgress::service),
                        KeyedChanges.changedNames(
                                current.document().tenants(),
                                next.document().tenants(),
                                Tenant::name)));
        if (steps.size() > MAX_STEPS) {
            steps.removeFirst();
        }
        current = next;
        digest = digests.compute(next);
    }

    /**
     * Computes the delta from a version to the latest configuration. The version may lie between
     * two that were added here, as for a node that comes from another control; the digest then
     * tells the node whether the delta applies to it.
     *
     * @param heldVersion version that the recipient holds
     * @return the changes since then, or a full delta if the version is older than those retained
     */
    public ConfigurationDelta deltaSince(long heldVersion) {
        Set<String> services = new HashSet<>();
        Set<String> routes = new HashSet<>();
        Set<String> rollouts = new HashSet<>();
        Set<String> tenants = new HashSet<>();
        boolean isRetained =
                !steps.isEmpty()
                        && heldVersion >= steps.getFirst().fromVersion()
                        && heldVersion < current.version();
        if (!isRetained) {
            return fullDelta();
        }
        for (Iterator<Step> latestFirst = steps.descendingIterator(); latestFirst.hasNext(); ) {
            Step step = latestFirst.next();
            services.addAll(step.services());
            routes.addAll(step.routes());
            rollouts.addAll(step.rollouts());
            tenants.addAll(step.tenants());
            if (step.fromVersion() <= heldVersion) {
                break;
            }
        }
        return delta(heldVersion, services, routes, rollouts, tenants);
    }

    private ConfigurationDelta fullDelta() {
        MeshConfiguration empty = MeshConfiguration.empty();
        return delta(
                empty.version(),
                KeyedChanges.changedNames(
                        empty.document().services(), current.document().services(), Service::name),
                KeyedChanges.changedNames(
                        empty.document().routes(), current.document().routes(), Route::name),
                KeyedChanges.changedNames(
                        empty.rollouts(), current.rollouts(), RolloutProgress::service),
                KeyedChanges.changedNames(
                        empty.document().tenants(), current.document().tenants(), Tenant::name));
    }

    private ConfigurationDelta delta(
            long baseVersion,
            Set<String> services,
            Set<String> routes,
            Set<String> rollouts,
            Set<String> tenants) {
        return new ConfigurationDelta(
                baseVersion,
                current.version(),
                current.documentVersion(),
                current.document().rolloutPriority(),
                KeyedChanges.of(services, current.document().services(), Service::name),
                KeyedChanges.of(routes, current.document().routes(), Route::name),
                KeyedChanges.of(rollouts, current.rollouts(), RolloutProgress::service),
                digest,
                current.document().revision(),
                current.document().limits(),
                KeyedChanges.of(tenants, current.document().tenants(), Tenant::name),
                current.evacuatedDataCentres());
    }
}
