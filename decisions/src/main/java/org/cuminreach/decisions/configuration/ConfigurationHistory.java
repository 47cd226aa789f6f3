package org.cuminreach.decisions.configuration;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import org.cuminreach.document.Route;
import org.cuminreach.document.Service;

/**
 * The latest configuration and the names that changed on the way to it, from which a delta since
 * any remembered version is made. Not safe for use by several threads at once.
 */
public final class ConfigurationHistory {
    /** Most steps that are remembered; a node that holds an older version gets it whole. */
    public static final int MAX_STEPS = 1_024;

    /** The names that differ between a version and the one before it. */
    private record Step(
            long fromVersion, Set<String> services, Set<String> routes, Set<String> rollouts) {}

    private final Deque<Step> steps = new ArrayDeque<>();
    private final ConfigurationDigest digests = ConfigurationDigest.create();
    private MeshConfiguration current;
    private long digest;

    private ConfigurationHistory(MeshConfiguration current) {
        this.current = current;
        this.digest = digests.compute(current);
    }

    /**
     * Returns a history without a past.
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
     * Takes a later configuration; one that is not later changes nothing.
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
                                current.rollouts(), next.rollouts(), RolloutProgress::service)));
        if (steps.size() > MAX_STEPS) {
            steps.removeFirst();
        }
        current = next;
        digest = digests.compute(next);
    }

    /**
     * Makes the delta that leads to the latest configuration.
     *
     * @param heldVersion version that the receiver holds
     * @return the changes since then, or the whole when that version is not remembered
     */
    public ConfigurationDelta deltaSince(long heldVersion) {
        Set<String> services = new HashSet<>();
        Set<String> routes = new HashSet<>();
        Set<String> rollouts = new HashSet<>();
        boolean found = false;
        for (Step step : steps) {
            found = found || step.fromVersion() == heldVersion;
            if (found) {
                services.addAll(step.services());
                routes.addAll(step.routes());
                rollouts.addAll(step.rollouts());
            }
        }
        return found ? delta(heldVersion, services, routes, rollouts) : fullDelta();
    }

    private ConfigurationDelta fullDelta() {
        MeshConfiguration nothing = MeshConfiguration.empty();
        return delta(
                nothing.version(),
                KeyedChanges.changedNames(
                        nothing.document().services(),
                        current.document().services(),
                        Service::name),
                KeyedChanges.changedNames(
                        nothing.document().routes(), current.document().routes(), Route::name),
                KeyedChanges.changedNames(
                        nothing.rollouts(), current.rollouts(), RolloutProgress::service));
    }

    private ConfigurationDelta delta(
            long baseVersion, Set<String> services, Set<String> routes, Set<String> rollouts) {
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
                current.document().limits());
    }
}
