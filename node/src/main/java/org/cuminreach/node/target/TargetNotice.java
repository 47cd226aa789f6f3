package org.cuminreach.node.target;

import java.util.OptionalLong;
import org.cuminreach.decisions.routing.CallRateLimit;
import org.cuminreach.decisions.routing.StatedLoad;

/**
 * Statements of a target about itself in the headers of an answer.
 *
 * @param limit calls per second that it accepts from all callers together
 * @param leaving true when it is about to stop and wants no more calls
 * @param load its load
 * @param coldMillis time for which it stays cold, in milliseconds; empty when it does not say
 */
public record TargetNotice(
        CallRateLimit limit, boolean leaving, StatedLoad load, OptionalLong coldMillis) {
    /**
     * Creates the notice of a target that states neither its load nor a cold time.
     *
     * @param limit calls per second that it accepts from all callers together
     * @param leaving true when it is about to stop and wants no more calls
     */
    public TargetNotice(CallRateLimit limit, boolean leaving) {
        this(limit, leaving, new StatedLoad.Silent(), OptionalLong.empty());
    }

    /** Digits of the longest cold time that is read. */
    private static final int MAX_DIGITS = 9;

    /**
     * Reads a cold time.
     *
     * @param text milliseconds in decimal digits
     * @return the time, or empty when the text is no such number
     */
    public static OptionalLong coldMillis(String text) {
        String trimmed = text.strip();
        boolean valid =
                !trimmed.isEmpty()
                        && trimmed.length() <= MAX_DIGITS
                        && trimmed.chars().allMatch(digit -> digit >= '0' && digit <= '9');
        return valid ? OptionalLong.of(Long.parseLong(trimmed)) : OptionalLong.empty();
    }
}
