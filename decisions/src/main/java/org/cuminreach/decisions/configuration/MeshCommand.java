package org.cuminreach.decisions.configuration;

/** A command of the replicated log. */
public sealed interface MeshCommand {
    /**
     * Submit a document.
     *
     * @param operator who submits, for the history
     * @param key idempotency key: a resend with the same key gets the first answer again
     * @param basedOn document version that the operator started from
     * @param text the document
     * @param atMillis wall-clock time at the leader, in milliseconds since the epoch
     */
    record SubmitDocument(String operator, String key, long basedOn, String text, long atMillis)
            implements MeshCommand {}

    /**
     * Submit a document as a change of the one that it is based on.
     *
     * @param operator who submits, for the history
     * @param key idempotency key: a resend with the same key gets the first answer again
     * @param basedOn document version that the operator started from
     * @param edit makes the document from that version's text
     * @param atMillis wall-clock time at the leader, in milliseconds since the epoch
     */
    record EditDocument(String operator, String key, long basedOn, DocumentEdit edit, long atMillis)
            implements MeshCommand {}

    /**
     * Move, finish or take back a rollout.
     *
     * @param service name of the service
     * @param version the new version
     * @param phase phase after the step
     * @param sharePerMille share after the step
     * @param reason why
     * @param atMillis wall-clock time at the leader, in milliseconds since the epoch
     */
    record StepRollout(
            String service,
            String version,
            RolloutPhase phase,
            int sharePerMille,
            String reason,
            long atMillis)
            implements MeshCommand {}
}
