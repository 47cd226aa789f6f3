package org.cuminreach.decisions.configuration;

import java.util.List;

/**
 * The whole replicated state, for snapshots.
 *
 * @param version configuration version
 * @param documentVersion document version
 * @param documentText the document
 * @param rollouts where rollouts stand
 * @param takenBack versions that stay taken back
 * @param answers remembered submissions, oldest first
 * @param history history, oldest first
 */
public record MeshStateImage(
        long version,
        long documentVersion,
        String documentText,
        List<RolloutProgress> rollouts,
        List<TakenBackVersion> takenBack,
        List<RememberedAnswer> answers,
        List<HistoryEntry> history) {
    /**
     * The answer that a submission got.
     *
     * @param key idempotency key
     * @param outcome the answer
     */
    public record RememberedAnswer(String key, SubmissionOutcome outcome) {}

    /** Copies the lists. */
    public MeshStateImage {
        rollouts = List.copyOf(rollouts);
        takenBack = List.copyOf(takenBack);
        answers = List.copyOf(answers);
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
