package org.cuminreach.decisions.configuration;

import java.util.List;

/**
 * An immutable copy of the complete replicated state, for snapshots.
 *
 * @param version configuration version
 * @param documentVersion document version
 * @param documentText the document text
 * @param rollouts states of the rollouts
 * @param rolledBackVersions versions that were rolled back
 * @param outcomes retained outcomes of submissions, oldest first
 * @param history change history, oldest first
 * @param evacuatedDataCentres data centres that are evacuated, in alphabetical order
 */
public record MeshStateImage(
        long version,
        long documentVersion,
        String documentText,
        List<RolloutProgress> rollouts,
        List<RolledBackVersion> rolledBackVersions,
        List<RetainedOutcome> outcomes,
        List<HistoryEntry> history,
        List<String> evacuatedDataCentres) {
    /**
     * The retained outcome of a submission.
     *
     * @param key idempotency key
     * @param outcome the outcome
     */
    public record RetainedOutcome(String key, SubmissionOutcome outcome) {}

    /** Makes defensive copies of the lists. */
    public MeshStateImage {
        rollouts = List.copyOf(rollouts);
        rolledBackVersions = List.copyOf(rolledBackVersions);
        outcomes = List.copyOf(outcomes);
        history = List.copyOf(history);
        evacuatedDataCentres = List.copyOf(evacuatedDataCentres);
    }

    /**
     * Returns the state before the first command.
     *
     * @return an empty state
     */
    public static MeshStateImage empty() {
        return new MeshStateImage(
                0, 0, "{}", List.of(), List.of(), List.of(), List.of(), List.of());
    }
}
