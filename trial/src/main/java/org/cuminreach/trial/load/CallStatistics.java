package org.cuminreach.trial.load;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Records the outcomes of calls. This class is thread-safe. */
public final class CallStatistics {
    private final LongAdder sent = new LongAdder();
    private final Map<CallOutcome, LongAdder> counts = new EnumMap<>(CallOutcome.class);
    private final Map<String, CallOutcome> outcomesByNumber = new ConcurrentHashMap<>();

    private CallStatistics() {
        for (CallOutcome outcome : CallOutcome.values()) {
            counts.put(outcome, new LongAdder());
        }
    }

    /**
     * Returns statistics without any calls.
     *
     * @return empty statistics
     */
    public static CallStatistics empty() {
        return new CallStatistics();
    }

    /** Records that a call is sent. */
    public void recordSent() {
        sent.increment();
    }

    /**
     * Records the outcome of a call.
     *
     * @param number number of the call
     * @param outcome its outcome
     */
    public void recordOutcome(String number, CallOutcome outcome) {
        outcomesByNumber.put(number, outcome);
        counts.get(outcome).increment();
    }

    /**
     * Returns the number of calls sent.
     *
     * @return a count
     */
    public long sentCount() {
        return sent.sum();
    }

    /**
     * Returns the number of calls with an outcome.
     *
     * @param outcome the outcome
     * @return a count
     */
    public long count(CallOutcome outcome) {
        return counts.get(outcome).sum();
    }

    /**
     * Returns the outcomes of all finished calls.
     *
     * @return outcomes by number
     */
    public Map<String, CallOutcome> outcomes() {
        return Map.copyOf(outcomesByNumber);
    }
}
