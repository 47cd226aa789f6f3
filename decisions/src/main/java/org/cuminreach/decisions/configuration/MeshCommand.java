package org.cuminreach.decisions.configuration;

/** A command of the replicated log. */
public sealed interface MeshCommand {
    /**
     * Submits a document.
     *
     * @param operator name of the operator, for the history
     * @param key idempotency key: a resend with the same key gets the previous outcome
     * @param basedOn document version that the submission is based on
     * @param text the document
     * @param atMillis wall-clock time at the leader, in milliseconds since the epoch
     */
    record SubmitDocument(String operator, String key, long basedOn, String text, long atMillis)
            implements MeshCommand {}

    /**
     * Submits a document as an edit of the one that it is based on.
     *
     * @param operator name of the operator, for the history
     * @param key idempotency key: a resend with the same key gets the previous outcome
     * @param basedOn document version that the submission is based on
     * @param edit difference to the text of that version
     * @param atMillis wall-clock time at the leader, in milliseconds since the epoch
     */
    record EditDocument(String operator, String key, long basedOn, DocumentEdit edit, long atMillis)
            implements MeshCommand {}

    /**
     * Changes the share of a rollout, completes it or rolls it back.
     *
     * @param service name of the service
     * @param version the new version
     * @param phase phase after the step
     * @param sharePerMille share after the step
     * @param reason reason of the step
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

    /**
     * Starts or ends the evacuation of a data centre. Idempotent: repeating it changes nothing.
     *
     * @param operator name of the operator, for the history
     * @param dataCentre name of the data centre
     * @param evacuated true to start the evacuation, false to end it
     * @param atMillis wall-clock time at the leader, in milliseconds since the epoch
     */
    record SetEvacuation(String operator, String dataCentre, boolean evacuated, long atMillis)
            implements MeshCommand {}
}
