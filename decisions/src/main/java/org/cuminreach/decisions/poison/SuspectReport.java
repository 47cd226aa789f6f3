package org.cuminreach.decisions.poison;

import java.util.List;

/** What one process tells another about a request that may be a poison request. */
public sealed interface SuspectReport {
    /**
     * Returns which request it is about.
     *
     * @return fingerprint of the request
     */
    String fingerprint();

    /**
     * Returns the lost targets.
     *
     * @return names of the nodes next to them, in the order of the losses
     */
    default List<String> targets() {
        return switch (this) {
            case Lost lost -> lost.losses().stream().map(TargetLoss::target).toList();
            case Answered answered -> List.of();
        };
    }

    /**
     * Targets were lost while they ran the request.
     *
     * @param fingerprint fingerprint of the request
     * @param losses the losses since its last answer
     */
    record Lost(String fingerprint, List<TargetLoss> losses) implements SuspectReport {
        /** Copies the losses. */
        public Lost {
            losses = List.copyOf(losses);
        }
    }

    /**
     * A target answered the request.
     *
     * @param fingerprint fingerprint of the request
     * @param ageMillis time since the answer, in milliseconds
     */
    record Answered(String fingerprint, long ageMillis) implements SuspectReport {}
}
