package org.cuminreach.decisions.configuration;

import java.util.List;
import java.util.Optional;
import org.cuminreach.document.MeshDocument;

/**
 * The configuration distributed to nodes: a document, the state of its rollouts, and the data
 * centres that are evacuated. Immutable.
 *
 * @param version index of the log entry that created it; increases with each change
 * @param documentVersion index of the log entry that accepted the document
 * @param document the document
 * @param documentText the document as submitted
 * @param rollouts states of the document's rollouts, at most one per service
 * @param evacuatedDataCentres data centres whose targets get no calls, in alphabetical order
 */
public record MeshConfiguration(
        long version,
        long documentVersion,
        MeshDocument document,
        String documentText,
        List<RolloutProgress> rollouts,
        List<String> evacuatedDataCentres) {
    /** Makes defensive copies of the lists. */
    public MeshConfiguration {
        rollouts = List.copyOf(rollouts);
        evacuatedDataCentres = List.copyOf(evacuatedDataCentres);
    }

    /**
     * Returns a configuration without evacuated data centres.
     *
     * @param version index of the log entry that created it
     * @param documentVersion index of the log entry that accepted the document
     * @param document the document
     * @param documentText the document as submitted
     * @param rollouts states of the document's rollouts, at most one per service
     * @return the configuration
     */
    public static MeshConfiguration of(
            long version,
            long documentVersion,
            MeshDocument document,
            String documentText,
            List<RolloutProgress> rollouts) {
        return new MeshConfiguration(
                version, documentVersion, document, documentText, rollouts, List.of());
    }

    /**
     * Returns the configuration before the first document.
     *
     * @return an empty configuration with version 0
     */
    public static MeshConfiguration empty() {
        return of(0, 0, MeshDocument.empty(), "{}", List.of());
    }

    /**
     * Tells whether a data centre is evacuated.
     *
     * @param dataCentre name of the data centre
     * @return true when its targets must get no calls
     */
    public boolean isEvacuated(String dataCentre) {
        return evacuatedDataCentres.contains(dataCentre);
    }

    /**
     * Finds the rollout state of a service.
     *
     * @param service name of the service
     * @return the state, or empty if the service has no rollout
     */
    public Optional<RolloutProgress> rollout(String service) {
        for (RolloutProgress progress : rollouts) {
            if (progress.service().equals(service)) {
                return Optional.of(progress);
            }
        }
        return Optional.empty();
    }
}
