package org.cuminreach.decisions.routing;

import java.util.Optional;

/**
 * What a target's node says of the target's load; it travels on every answer of that node.
 *
 * @param running calls that run at the target
 * @param waiting calls that wait for it
 * @param limit calls that may run at once, at least 1
 * @param draining true when the target takes no new work
 */
public record LoadReport(int running, int waiting, int limit, boolean draining) {
    private static final char SEPARATOR = '/';
    private static final String DRAINING = "draining";
    private static final int HIGHEST_COUNT = 1_000_000;

    /**
     * Returns the form in which the report travels.
     *
     * @return for example {@code 3/0/9/ready}
     */
    public String text() {
        return new StringBuilder()
                .append(running)
                .append(SEPARATOR)
                .append(waiting)
                .append(SEPARATOR)
                .append(limit)
                .append(SEPARATOR)
                .append(draining ? DRAINING : "ready")
                .toString();
    }

    /**
     * Reads a report.
     *
     * @param text what travelled; anything else than a report is not believed
     * @return the report, or empty when the text is none
     */
    public static Optional<LoadReport> parse(String text) {
        int first = text.indexOf(SEPARATOR);
        int second = text.indexOf(SEPARATOR, first + 1);
        int third = text.indexOf(SEPARATOR, second + 1);
        if (first < 0 || second < 0 || third < 0) {
            return Optional.empty();
        }
        int running = count(text, 0, first);
        int waiting = count(text, first + 1, second);
        int limit = count(text, second + 1, third);
        if (running < 0 || waiting < 0 || limit < 1) {
            return Optional.empty();
        }
        boolean draining = text.startsWith(DRAINING, third + 1);
        return Optional.of(new LoadReport(running, waiting, limit, draining));
    }

    private static int count(String text, int from, int to) {
        if (from == to) {
            return -1;
        }
        int value = 0;
        for (int index = from; index < to; index++) {
            int digit = text.charAt(index) - '0';
            if (digit < 0 || digit > 9) {
                return -1;
            }
            value = Math.min(HIGHEST_COUNT, value * 10 + digit);
        }
        return value;
    }
}
