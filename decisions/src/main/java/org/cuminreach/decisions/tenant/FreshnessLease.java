package org.cuminreach.decisions.tenant;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Proof of a node that its configuration is current. The node asks a control, the control answers
 * with the version that a majority has confirmed after the question arrived, and from then on the
 * node knows that no configuration was acknowledged before the question was sent that it does not
 * hold. The proof counts from the moment at which the question was sent, once the node holds the
 * confirmed version, and ends when the clocks disagree on how much time has passed.
 *
 * <p>Not thread-safe.
 */
public final class FreshnessLease {
    /**
     * Share of the bound on revocation for which a proof lets keys pass; the rest is left for the
     * tolerance between the clocks and for clocks that run slow.
     */
    private static final double LEASE_SHARE = 0.8;

    /**
     * Age of a proof up to which a key that the configuration lacks is known to be invalid. A key
     * must be accepted soon after it was added, so this is less than the time in which a
     * configuration takes effect, in milliseconds.
     */
    private static final long UNKNOWN_KEY_MILLIS = 1_500;

    /** Questions that may be open at a time; an answer to an earlier one is ignored. */
    private static final int MAX_OPEN_QUESTIONS = 32;

    private record Answer(long question, long version, ClockReading askedAt) {}

    private final OptionalLong leaseMillis;
    private final TreeMap<Long, ClockReading> questions = new TreeMap<>();
    private final TreeMap<Long, Answer> awaitingVersion = new TreeMap<>();
    private Optional<Answer> proof = Optional.empty();
    private Optional<ClockReading> lastSeen = Optional.empty();
    private long lastQuestion;

    private FreshnessLease(OptionalLong leaseMillis) {
        this.leaseMillis = leaseMillis;
    }

    /**
     * Returns a lease without a proof.
     *
     * @param revocationMillis time after which a key that was taken away must run nowhere; without
     *     it keys pass without a proof
     * @return the lease
     */
    public static FreshnessLease within(OptionalLong revocationMillis) {
        return new FreshnessLease(
                revocationMillis.isPresent()
                        ? OptionalLong.of(Math.round(LEASE_SHARE * revocationMillis.getAsLong()))
                        : OptionalLong.empty());
    }

    /**
     * Starts a question, which must be sent after this call.
     *
     * @param now reading of the clocks
     * @return number of the question
     */
    public long ask(ClockReading now) {
        observe(now);
        lastQuestion++;
        questions.put(lastQuestion, now);
        if (questions.size() > MAX_OPEN_QUESTIONS) {
            questions.pollFirstEntry();
        }
        return lastQuestion;
    }

    /**
     * Records an answer. A late or repeated answer never replaces that to a later question.
     *
     * @param question number of the question
     * @param confirmedVersion version that a majority confirmed after the question
     * @param now reading of the clocks
     */
    public void recordAnswer(long question, long confirmedVersion, ClockReading now) {
        observe(now);
        ClockReading askedAt = questions.remove(question);
        if (askedAt != null) {
            awaitingVersion.put(question, new Answer(question, confirmedVersion, askedAt));
            if (awaitingVersion.size() > MAX_OPEN_QUESTIONS) {
                awaitingVersion.pollFirstEntry();
            }
        }
    }

    /**
     * Returns how far the node may rely on its configuration.
     *
     * @param heldVersion version of the configuration that it holds
     * @param now reading of the clocks
     * @return the freshness
     */
    public Freshness freshness(long heldVersion, ClockReading now) {
        boolean allowsKeys = leaseMillis.isEmpty() || remainingMillis(heldVersion, now) > 0;
        return new Freshness(allowsKeys, isWithin(UNKNOWN_KEY_MILLIS, heldVersion, now));
    }

    /**
     * Returns for how long keys may pass.
     *
     * @param heldVersion version of the configuration that the node holds
     * @param now reading of the clocks
     * @return the time, at least 0, in milliseconds; without a bound on revocation the longest
     */
    public long remainingMillis(long heldVersion, ClockReading now) {
        if (leaseMillis.isEmpty()) {
            return Long.MAX_VALUE;
        }
        observe(now);
        adopt(heldVersion);
        OptionalLong age =
                proof.map(known -> now.elapsedMillis(known.askedAt())).orElse(OptionalLong.empty());
        return age.isPresent() ? Math.max(0, leaseMillis.getAsLong() - age.getAsLong()) : 0;
    }

    private boolean isWithin(long millis, long heldVersion, ClockReading now) {
        observe(now);
        adopt(heldVersion);
        return proof.filter(known -> now.isWithin(known.askedAt(), millis)).isPresent();
    }

    /** Ends all that was known when the clocks have disagreed since they were last read. */
    private void observe(ClockReading now) {
        if (lastSeen.isPresent() && now.elapsedMillis(lastSeen.get()).isEmpty()) {
            proof = Optional.empty();
            questions.clear();
            awaitingVersion.clear();
        }
        lastSeen = Optional.of(now);
    }

    /** Makes the answer to the latest question whose version is held the proof. */
    private void adopt(long heldVersion) {
        for (Map.Entry<Long, Answer> entry : awaitingVersion.descendingMap().entrySet()) {
            Answer answer = entry.getValue();
            if (answer.version() <= heldVersion) {
                if (proof.isEmpty() || proof.get().question() < answer.question()) {
                    proof = Optional.of(answer);
                }
                awaitingVersion.headMap(entry.getKey(), true).clear();
                return;
            }
        }
    }
}
