package org.cuminreach.decisions.routing;

import java.util.OptionalInt;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Load that a target states in an answer: calls that run, calls that wait, and its slots. */
public sealed interface StatedLoad {
    /** Value of the work time on a VM that runs at its usual speed, in percent. */
    int USUAL_WORK_PERCENT = 100;

    /** Three or four decimal numbers of a bounded size. */
    Pattern NUMBERS = Pattern.compile("(\\d{1,6}),(\\d{1,6}),(\\d{1,6})(?:,(\\d{1,6}))?");

    /**
     * Shortest credible time of work, in percent of the usual one. A VM that is shared with others
     * becomes slower, hardly faster, and a larger number that was cut short is less than this.
     */
    int MIN_WORK_PERCENT = 50;

    /** Longest credible time of work, in percent of the usual one. */
    int MAX_WORK_PERCENT = 5_000;

    /** Number of characters of an unreadable statement that are kept for the log. */
    int MAX_TEXT_LENGTH = 40;

    /** The target states nothing. */
    record Silent() implements StatedLoad {}

    /**
     * The target states its load.
     *
     * @param running calls that run
     * @param waiting calls that wait at the target itself
     * @param slots calls that may run at once, at least 1
     * @param workPercent time that work takes on its VM now, in percent of the usual one; empty
     *     when not stated
     */
    record Figures(int running, int waiting, int slots, OptionalInt workPercent)
            implements StatedLoad {}

    /**
     * The statement is malformed or out of range; it is ignored.
     *
     * @param text printable start of the statement
     */
    record Unreadable(String text) implements StatedLoad {}

    /**
     * Reads a statement.
     *
     * @param text three or four numbers separated by commas, or an empty string for none
     * @return the load
     */
    static StatedLoad parse(String text) {
        String trimmed = text.strip();
        if (trimmed.isEmpty()) {
            return new Silent();
        }
        Matcher numbers = NUMBERS.matcher(trimmed);
        if (!numbers.matches()) {
            return unreadable(trimmed);
        }
        int slots = Integer.parseInt(numbers.group(3));
        int percent =
                numbers.group(4) == null ? USUAL_WORK_PERCENT : Integer.parseInt(numbers.group(4));
        if (slots < 1 || percent < MIN_WORK_PERCENT || percent > MAX_WORK_PERCENT) {
            return unreadable(trimmed);
        }
        return new Figures(
                Integer.parseInt(numbers.group(1)),
                Integer.parseInt(numbers.group(2)),
                slots,
                numbers.group(4) == null ? OptionalInt.empty() : OptionalInt.of(percent));
    }

    private static Unreadable unreadable(String text) {
        String start = text.substring(0, Math.min(MAX_TEXT_LENGTH, text.length()));
        return new Unreadable(start.replaceAll("[^\\x20-\\x7e]|[\"\\\\]", "?"));
    }
}
