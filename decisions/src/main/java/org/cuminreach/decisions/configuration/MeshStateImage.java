package org.cuminreach.decisions.configuration;

import java.util.List;

/**
 * The whole replicated state, for snapshots.
 *
 * @param version configuration version
 * @param documentVersion document version
 * @param documentText the document
 * @param rollouts where rollouts stand
 * @param rolledBackVersions versions that stay taken back
 * @param outcomes remembered submissions, oldest first
 * @param history history, oldest first
 */
public record MeshStateImage(
        long version,
        long documentVersion,
        String documentText,
        List<RolloutProgress> rollouts,
        List<RolledBackVersion> rolledBackVersions,
        List<RememberedOutcome> outcomes,
        List<HistoryEntry> history) {
    /**
     * The answer that a submission got.
     *
     * @param key idempotency key
     * @param outcome the answer
     */
    public record RememberedOutcome(String key, SubmissionOutcome outcome) {}

    /** Copies the lists. */
    public MeshStateImage {
        rollouts = List.copyOf(rollouts);
        rolledBackVersions = List.copyOf(rolledBackVersions);
        outcomes = List.copyOf(outcomes);
        history = List.copyOf(history);
    }

    /**
     * Returns the state before any command.
     *
     * @return an empty state
     */
    public static MeshStateImage empty() {
        return new MeshStateImage(0, 0, "{}", List.of(), List.of(), List.of(), List.of());
    }
}
