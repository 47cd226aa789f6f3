package org.cuminreach.decisions.configuration;

/**
 * The replicated state of a rollout.
 *
 * @param service name of the service
 * @param version the new version
 * @param phase phase of the rollout
 * @param sharePerMille share of calls sent to the new version, 0 to 1,000
 * @param startedMillis wall-clock time of its acceptance, in milliseconds since the epoch
 * @param steppedMillis wall-clock time of the latest step, in milliseconds since the epoch
 * @param reason reason of the latest step
 */
public record RolloutProgress(
        String service,
        String version,
        RolloutPhase phase,
        int sharePerMille,
        long startedMillis,
        long steppedMillis,
        String reason) {}
