package org.cuminreach.trial.soak;

import java.util.List;

/**
 * Result of a soak.
 *
 * @param answered calls that a target answered
 * @param refused calls of which callers were told that they have not run
 * @param unanswered calls that were lost or may have run
 * @param disruptions signals and changes of targets
 * @param violations what callers or targets saw that must not happen
 */
public record SoakResult(
        int answered, int refused, int unanswered, int disruptions, List<String> violations) {}
