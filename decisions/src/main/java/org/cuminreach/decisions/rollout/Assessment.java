package org.cuminreach.decisions.rollout;

import java.util.Map;
import java.util.Optional;

/**
 * What the evidence says of a new version.
 *
 * @param badness why it is bad, or empty while it is not known to be
 * @param suspicion natural logarithm of the likelihood ratio of badness
 * @param calls calls of the new version that count as evidence of its goodness, by route
 */
record Assessment(Optional<String> badness, double suspicion, Map<String, Long> calls) {
    Assessment {
        calls = Map.copyOf(calls);
    }

    long callCount() {
        return calls.values().stream().mapToLong(Long::longValue).sum();
    }
}
