package org.cuminreach.decisions.routing;

import java.math.BigDecimal;
import java.util.regex.Pattern;

/** Limit on the calls per second that a target states in its answers, for all callers together. */
public sealed interface CallRateLimit {
    /** Unsigned decimal number, short enough that its value is finite. */
    Pattern DECIMAL = Pattern.compile("\\d{1,9}(\\.\\d{1,9})?");

    /** The target states no limit. */
    record Unlimited() implements CallRateLimit {}

    /**
     * The target states a limit.
     *
     * @param callsPerSecond calls per second, at least 0
     */
    record PerSecond(double callsPerSecond) implements CallRateLimit {}

    /**
     * The target states something that is not a decimal number; the previous limit stays in force.
     *
     * @param text the text
     */
    record Unreadable(String text) implements CallRateLimit {}

    /**
     * Returns the absence of a limit.
     *
     * @return no limit
     */
    static CallRateLimit unlimited() {
        return new Unlimited();
    }

    /**
     * Reads a limit.
     *
     * @param text a decimal number, or an empty string for no limit
     * @return the limit
     */
    static CallRateLimit parse(String text) {
        String trimmed = text.strip();
        if (trimmed.isEmpty()) {
            return unlimited();
        }
        return DECIMAL.matcher(trimmed).matches()
                ? new PerSecond(Double.parseDouble(trimmed))
                : new Unreadable(trimmed);
    }

    /**
     * Returns the limit as a decimal number.
     *
     * @return the text, or an empty string when there is no limit in force
     */
    default String text() {
        return switch (this) {
            case PerSecond limit -> BigDecimal.valueOf(limit.callsPerSecond()).toPlainString();
            case Unlimited none -> "";
            case Unreadable unreadable -> "";
        };
    }
}
