package org.cuminreach.trial.soak;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * What callers and targets of a soak have seen, checked against the users' rules for limits and
 * leaving targets and against the outcomes that callers were told. Thread-safe.
 */
final class SoakLedger {
    /** Length of the window in which calls to a limited target are counted. */
    private static final long WINDOW_MILLIS = 4_000;

    private static final double LIMIT_FACTOR = 1.5;
    private static final int LIMIT_SLACK_CALLS = 5;

    /** Time from the first naming of a limit until it binds. */
    private static final long LIMIT_GRACE_MILLIS = 3_000;

    /** Time from an answer that names a limit until the calls of its node count. */
    private static final long TOLD_GRACE_MILLIS = 500;

    /** Time from an answer of a leaving target until its node may send it no more calls. */
    private static final long LEAVING_GRACE_MILLIS = 2_000;

    /** Reason of a call that ends since nobody waits for it. */
    private static final String ABANDONED = "abandoned";

    /** A node that has passed on a statement of a target; lost when the node is disrupted. */
    private record Told(String node, String target, String statement) {}

    /** Limit of a target from a time on. */
    private record Limit(double callsPerSecond, long sinceMillis) {}

    private static final class TargetLog {
        private final Deque<Long> countedArrivals = new ArrayDeque<>();
        private final Deque<Limit> limits = new ArrayDeque<>();
        private int period;
        private long namedMillis;
    }

    private final Map<Told, Long> toldMillis = new HashMap<>();
    private final Map<String, Long> disruptedMillis = new HashMap<>();
    private final Map<String, TargetLog> logs = new HashMap<>();
    private final Map<String, Integer> runs = new HashMap<>();
    private final Set<String> refusedCalls = new HashSet<>();
    private final List<String> violations = new CopyOnWriteArrayList<>();

    /** Records a new limit of a target, or its end. */
    synchronized void recordLimit(String target, Optional<Double> limit, long nowMillis) {
        TargetLog log = log(target);
        if (limit.isEmpty()) {
            log.limits.clear();
            log.countedArrivals.clear();
            return;
        }
        if (log.limits.isEmpty()) {
            log.period++;
            log.namedMillis = nowMillis;
        }
        log.limits.addLast(new Limit(limit.get(), nowMillis));
    }

    /** Records a signal to a node, which excuses what it was told before. */
    synchronized void recordDisruption(String node, long nowMillis) {
        toldMillis.keySet().removeIf(told -> told.node().equals(node));
        disruptedMillis.put(node, nowMillis);
    }

    /** Records that a target began to run a call. */
    synchronized void recordRun(String target, SoakCall call, long nowMillis) {
        if (runs.merge(call.id(), 1, Integer::sum) > 1 && !call.repeatable()) {
            violations.add("ran twice: " + call.id());
        }
        Long leaving = toldMillis.get(new Told(call.node(), target, "leaving"));
        if (leaving != null && call.sentMillis() > leaving + LEAVING_GRACE_MILLIS) {
            violations.add(
                    "%s got %s from %s %d ms after it was told that the target leaves"
                            .formatted(
                                    target, call.id(), call.node(), call.sentMillis() - leaving));
        }
        checkLimit(target, call, nowMillis);
    }

    private void checkLimit(String target, SoakCall call, long nowMillis) {
        TargetLog log = log(target);
        Long told = toldMillis.get(new Told(call.node(), target, "limit-" + log.period));
        boolean counts =
                !log.limits.isEmpty()
                        && nowMillis >= log.namedMillis + LIMIT_GRACE_MILLIS
                        && told != null
                        && nowMillis >= told + TOLD_GRACE_MILLIS;
        if (!counts) {
            return;
        }
        log.countedArrivals.addLast(nowMillis);
        while (log.countedArrivals.getFirst() <= nowMillis - WINDOW_MILLIS) {
            log.countedArrivals.removeFirst();
        }
        double highest = highestLimit(log, nowMillis - WINDOW_MILLIS);
        double allowed = LIMIT_FACTOR * highest * WINDOW_MILLIS / 1_000 + LIMIT_SLACK_CALLS;
        if (log.countedArrivals.size() > allowed) {
            violations.add(
                    "%s got %d calls in 4 s at a limit of %.1f"
                            .formatted(target, log.countedArrivals.size(), highest));
        }
    }

    /** Returns the highest limit that was in force since a time. */
    private static double highestLimit(TargetLog log, long sinceMillis) {
        while (log.limits.size() > 1) {
            Limit first = log.limits.removeFirst();
            if (log.limits.getFirst().sinceMillis() > sinceMillis) {
                log.limits.addFirst(first);
                break;
            }
        }
        return log.limits.stream().mapToDouble(Limit::callsPerSecond).max().orElseThrow();
    }

    /** Records an answer of a target as its caller got it. */
    synchronized void recordAnswer(SoakCall call, SoakAnswer answer, long nowMillis) {
        if (!answer.callId().equals(call.id())) {
            violations.add(call.id() + " got the answer to " + answer.callId());
        }
        if (call.sentMillis() <= disruptedMillis.getOrDefault(call.node(), -1L)) {
            return;
        }
        if (answer.leaving()) {
            toldMillis.putIfAbsent(new Told(call.node(), answer.target(), "leaving"), nowMillis);
        }
        if (answer.limited()) {
            String period = "limit-" + log(answer.target()).period;
            toldMillis.putIfAbsent(new Told(call.node(), answer.target(), period), nowMillis);
        }
    }

    /** Records that a caller, which waited for it, was told that its call failed. */
    void recordFailure(SoakCall call, String reason) {
        if (reason.equals(ABANDONED)) {
            violations.add("cancelled by its node while its caller waited: " + call.id());
        }
    }

    /** Records that a caller was told that its call has not run. */
    synchronized void recordRefusal(SoakCall call) {
        refusedCalls.add(call.id());
    }

    /**
     * Returns the violations, including calls that ran though their callers were told otherwise.
     */
    synchronized List<String> violations() {
        refusedCalls.stream()
                .filter(runs::containsKey)
                .forEach(call -> violations.add("ran, but its caller was told otherwise: " + call));
        refusedCalls.clear();
        return List.copyOf(violations);
    }

    private TargetLog log(String target) {
        return logs.computeIfAbsent(target, name -> new TargetLog());
    }
}
