package org.cuminreach.trial.load;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts what came of calls. Safe for use by several threads. */
public final class CallStatistics {
    private final LongAdder recordSent = new LongAdder();
    private final Map<CallOutcome, LongAdder> counts = new EnumMap<>(CallOutcome.class);
    private final Map<String, CallOutcome> outcomesByNumber = new ConcurrentHashMap<>();

    private CallStatistics() {
        for (CallOutcome outcome : CallOutcome.values()) {
            counts.put(outcome, new LongAdder());
        }
    }

    /**
     * Returns a tally at zero.
     *
     * @return a new tally
     */
    public static CallStatistics empty() {
        return new CallStatistics();
    }

    /** Counts a call that is sent. */
    public void recordSent() {
        recordSent.increment();
    }

    /**
     * Counts what came of a call.
     *
     * @param number its number
     * @param outcome what came of it
     */
    public void recordOutcome(String number, CallOutcome outcome) {
        outcomesByNumber.put(number, outcome);
        counts.get(outcome).increment();
    }

    /**
     * Returns the calls sent.
     *
     * @return a count
     */
    public long sentCount() {
        return recordSent.sum();
    }

    /**
     * Returns the calls with an outcome.
     *
     * @param outcome the outcome
     * @return a count
     */
    public long count(CallOutcome outcome) {
        return counts.get(outcome).sum();
    }

    /**
     * Returns the outcome of each call.
     *
     * @return outcomes by number
     */
    public Map<String, CallOutcome> outcomes() {
        return Map.copyOf(outcomesByNumber);
    }
}
