package org.cuminreach.decisions.configuration;

import java.util.List;
import java.util.Optional;
import org.cuminreach.document.MeshDocument;

/**
 * The configuration that nodes hold: a document together with where its rollouts stand. Immutable.
 *
 * @param version index of the log entry that made it; grows with every change
 * @param documentVersion index of the log entry that accepted the document
 * @param document the document
 * @param documentText the document as submitted
 * @param rollouts where the document's rollouts stand, one a service at most
 */
public record MeshConfiguration(
        long version,
        long documentVersion,
        MeshDocument document,
        String documentText,
        List<RolloutProgress> rollouts) {
    /** Copies the list. */
    public MeshConfiguration {
        rollouts = List.copyOf(rollouts);
    }

    /**
     * Returns the configuration before any document.
     *
     * @return an empty configuration with version 0
     */
    public static MeshConfiguration empty() {
        return new MeshConfiguration(0, 0, MeshDocument.empty(), "{}", List.of());
    }

    /**
     * Finds where a service's rollout stands.
     *
     * @param service name of the service
     * @return its progress, or empty when it has none
     */
    public Optional<RolloutProgress> rollout(String service) {
        return rollouts.stream().filter(progress -> progress.service().equals(service)).findFirst();
    }
}
