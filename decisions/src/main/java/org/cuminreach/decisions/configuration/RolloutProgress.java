package org.cuminreach.decisions.configuration;

/**
 * The state of one rollout, as agreed by the controls.
 *
 * @param service name of the service
 * @param version the new version
 * @param phase where the rollout stands
 * @param sharePerMille share of calls that the new version carries, 0 to 1,000
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
