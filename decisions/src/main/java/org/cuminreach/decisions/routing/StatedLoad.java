package org.cuminreach.decisions.routing;

import java.util.OptionalInt;

/** Load that a target states in an answer: calls that run, calls that wait, and its slots. */
public sealed interface StatedLoad {
    /** Value of the work time on a VM that runs at its usual speed, in percent. */
    int USUAL_WORK_PERCENT = 100;

    /** Maximum number of digits of a figure. */
    int MAX_DIGITS = 6;

    /** Number of figures of a statement without the time of work. */
    int REQUIRED_FIGURES = 3;

    /** Number of figures of a statement with the time of work. */
    int MAX_FIGURES = 4;

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
        int[] figures = new int[MAX_FIGURES];
        int count = readFigures(trimmed, figures);
        if (count < REQUIRED_FIGURES) {
            return unreadable(trimmed);
        }
        int slots = figures[2];
        int percent = count == MAX_FIGURES ? figures[3] : USUAL_WORK_PERCENT;
        if (slots < 1 || percent < MIN_WORK_PERCENT || percent > MAX_WORK_PERCENT) {
            return unreadable(trimmed);
        }
        return new Figures(
                figures[0],
                figures[1],
                slots,
                count == MAX_FIGURES ? OptionalInt.of(percent) : OptionalInt.empty());
    }

    /** Reads numbers separated by commas; returns their count, or 0 when the text is malformed. */
    private static int readFigures(String text, int[] figures) {
        int count = 0;
        int digits = 0;
        for (int index = 0; index < text.length(); index++) {
            char next = text.charAt(index);
            if (next == ',' && digits > 0 && count < MAX_FIGURES - 1) {
                count++;
                digits = 0;
            } else if (next >= '0' && next <= '9' && digits < MAX_DIGITS) {
                figures[count] = figures[count] * 10 + (next - '0');
                digits++;
            } else {
                return 0;
            }
        }
        return digits == 0 ? 0 : count + 1;
    }

    private static Unreadable unreadable(String text) {
        String start = text.substring(0, Math.min(MAX_TEXT_LENGTH, text.length()));
        return new Unreadable(start.replaceAll("[^\\x20-\\x7e]|[\"\\\\]", "?"));
    }
}
