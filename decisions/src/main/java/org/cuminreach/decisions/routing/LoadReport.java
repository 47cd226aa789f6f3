package org.cuminreach.decisions.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Load of a target, as reported by its node in a header of every response.
 *
 * @param running calls that run at the target
 * @param waiting calls that wait for it
 * @param limit calls that may run concurrently, at least 1
 * @param draining true when the target accepts no new calls
 * @param runMillis running time of the call that this report answers, without its wait, in
 *     milliseconds; 0 when it did not run
 * @param waitMillis time that a new call would wait, in milliseconds, by priority from the highest
 *     on; empty when no call waits
 * @param pace time that work takes on the VM of the target now; empty when it states none
 */
public record LoadReport(
        int running,
        int waiting,
        int limit,
        boolean draining,
        int runMillis,
        List<Integer> waitMillis,
        Optional<WorkPace> pace) {
    private static final char SEPARATOR = '/';

    /** Separates the pace from the state, where nodes without knowledge of it ignore it. */
    private static final char PACE_SEPARATOR = ':';

    private static final String DRAINING = "draining";
    private static final int MAX_COUNT = 1_000_000;
    private static final int MAX_WAITS = 16;

    /** Copies the list of waits. */
    public LoadReport {
        waitMillis = List.copyOf(waitMillis);
    }

    /**
     * Creates a report without running time and waits.
     *
     * @param running calls that run at the target
     * @param waiting calls that wait for it
     * @param limit calls that may run concurrently, at least 1
     * @param draining true when the target accepts no new calls
     */
    public LoadReport(int running, int waiting, int limit, boolean draining) {
        this(running, waiting, limit, draining, 0, List.of());
    }

    /**
     * Creates a report of a target that does not state the pace of its VM.
     *
     * @param running calls that run at the target
     * @param waiting calls that wait for it
     * @param limit calls that may run concurrently, at least 1
     * @param draining true when the target accepts no new calls
     * @param runMillis running time of the answered call, in milliseconds
     * @param waitMillis waits by priority, in milliseconds
     */
    public LoadReport(
            int running,
            int waiting,
            int limit,
            boolean draining,
            int runMillis,
            List<Integer> waitMillis) {
        this(running, waiting, limit, draining, runMillis, waitMillis, Optional.empty());
    }

    /**
     * Returns how long a new call would wait.
     *
     * @param priority priority of its route
     * @return the wait in milliseconds
     */
    public int waitMillis(int priority) {
        return waitMillis.isEmpty()
                ? 0
                : waitMillis.get(Math.clamp(priority, 0, waitMillis.size() - 1));
    }

    /**
     * Returns the header value.
     *
     * @return the value, for example {@code 9/4/9/ready:250:40/120/0,0,80,80} with work that takes
     *     250% of the usual time, as stated 40 ms ago
     */
    public String text() {
        StringBuilder text =
                new StringBuilder()
                        .append(running)
                        .append(SEPARATOR)
                        .append(waiting)
                        .append(SEPARATOR)
                        .append(limit)
                        .append(SEPARATOR)
                        .append(draining ? DRAINING : "ready");
        pace.ifPresent(
                stated ->
                        text.append(PACE_SEPARATOR)
                                .append(stated.percent())
                                .append(PACE_SEPARATOR)
                                .append(stated.ageMillis()));
        if (runMillis > 0 || !waitMillis.isEmpty()) {
            text.append(SEPARATOR).append(runMillis);
        }
        for (int priority = 0; priority < waitMillis.size(); priority++) {
            text.append(priority == 0 ? SEPARATOR : ',').append(waitMillis.get(priority));
        }
        return text.toString();
    }

    /**
     * Parses a header value.
     *
     * @param text the value
     * @return the report, or empty when the value is malformed
     */
    public static Optional<LoadReport> parse(String text) {
        int first = text.indexOf(SEPARATOR);
        int second = text.indexOf(SEPARATOR, first + 1);
        int third = text.indexOf(SEPARATOR, second + 1);
        if (first < 0 || second < 0 || third < 0) {
            return Optional.empty();
        }
        int running = parseCount(text, 0, first);
        int waiting = parseCount(text, first + 1, second);
        int limit = parseCount(text, second + 1, third);
        if (running < 0 || waiting < 0 || limit < 1) {
            return Optional.empty();
        }
        boolean draining = text.startsWith(DRAINING, third + 1);
        int fourth = indexOfOrEnd(text, SEPARATOR, third + 1);
        int fifth = indexOfOrEnd(text, SEPARATOR, fourth + 1);
        int runMillis =
                fourth < text.length() ? Math.max(0, parseCount(text, fourth + 1, fifth)) : 0;
        return Optional.of(
                new LoadReport(
                        running,
                        waiting,
                        limit,
                        draining,
                        runMillis,
                        parseWaits(text, fifth + 1),
                        parsePace(text.substring(third + 1, fourth))));
    }

    private static Optional<WorkPace> parsePace(String state) {
        int first = state.indexOf(PACE_SEPARATOR);
        int second = state.indexOf(PACE_SEPARATOR, first + 1);
        if (first < 0 || second < 0) {
            return Optional.empty();
        }
        int percent = parseCount(state, first + 1, second);
        int ageMillis = parseCount(state, second + 1, state.length());
        boolean isValid =
                percent >= StatedLoad.MIN_WORK_PERCENT
                        && percent <= StatedLoad.MAX_WORK_PERCENT
                        && ageMillis >= 0;
        return isValid ? Optional.of(new WorkPace(percent, ageMillis)) : Optional.empty();
    }

    private static List<Integer> parseWaits(String text, int from) {
        List<Integer> waits = new ArrayList<>();
        for (int start = from; start < text.length() && waits.size() < MAX_WAITS; ) {
            int end = indexOfOrEnd(text, ',', start);
            waits.add(Math.max(0, parseCount(text, start, end)));
            start = end + 1;
        }
        return waits;
    }

    private static int indexOfOrEnd(String text, char separator, int from) {
        int end = text.indexOf(separator, from);
        return end < 0 ? text.length() : end;
    }

    private static int parseCount(String text, int from, int to) {
        if (from >= to) {
            return -1;
        }
        int value = 0;
        for (int index = from; index < to; index++) {
            int digit = text.charAt(index) - '0';
            if (digit < 0 || digit > 9) {
                return -1;
            }
            value = Math.min(MAX_COUNT, value * 10 + digit);
        }
        return value;
    }
}
