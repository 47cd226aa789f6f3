package org.cuminreach.decisions.configuration;

import java.util.List;
import java.util.Optional;
import org.cuminreach.document.MeshDocument;

/**
 * The configuration distributed to nodes: a document and the state of its rollouts. Immutable.
 *
 * @param version index of the log entry that created it; increases with each change
 * @param documentVersion index of the log entry that accepted the document
 * @param document the document
 * @param documentText the document as submitted
 * @param rollouts states of the document's rollouts, at most one per service
 */
public record MeshConfiguration(
        long version,
        long documentVersion,
        MeshDocument document,
        String documentText,
        List<RolloutProgress> rollouts) {
    /** Makes a defensive copy of the list. */
    public MeshConfiguration {
        rollouts = List.copyOf(rollouts);
    }

    /**
     * Returns the configuration before the first document.
     *
     * @return an empty configuration with version 0
     */
    public static MeshConfiguration empty() {
        return new MeshConfiguration(0, 0, MeshDocument.empty(), "{}", List.of());
    }

    /**
     * Finds the rollout state of a service.
     *
     * @param service name of the service
     * @return the state, or empty if the service has no rollout
     */
    public Optional<RolloutProgress> rollout(String service) {
        return rollouts.stream().filter(progress -> progress.service().equals(service)).findFirst();
    }
}
