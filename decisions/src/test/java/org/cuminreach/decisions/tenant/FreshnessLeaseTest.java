package org.cuminreach.decisions.tenant;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Plays a node, its clocks and the controls; the revocation of a key is a new version. */
class FreshnessLeaseTest {
    private static final long REVOCATION_MILLIS = 5_000;
    private static final long APPLY_MILLIS = 2_000;
    private static final long BEAT_MILLIS = 400;
    private static final long OLD = 7;
    private static final long REVOKED = 8;

    private final FreshnessLease lease = FreshnessLease.within(OptionalLong.of(REVOCATION_MILLIS));
    private long steadyMillis = 5_000;
    private long wallMillis = 1_800_000_000_000L;

    private ClockReading now() {
        return new ClockReading(steadyMillis, wallMillis);
    }

    private void run(long millis) {
        steadyMillis += millis;
        wallMillis += millis;
    }

    /** Suspends the machine: only the time of day goes on. */
    private void suspend(long millis) {
        wallMillis += millis;
    }

    private boolean allowsKeys(long heldVersion) {
        return lease.freshness(heldVersion, now()).allowsKeys();
    }

    private void prove(long version) {
        lease.recordAnswer(lease.ask(now()), version, now());
    }

    @Example
    void keysPassOnlyWithProof() {
        assertThat(allowsKeys(OLD)).isFalse();
        prove(OLD);
        assertThat(allowsKeys(OLD)).isTrue();
        run(REVOCATION_MILLIS);
        assertThat(allowsKeys(OLD)).isFalse();
    }

    @Example
    void proofOutlastsTheTimeInWhichCallsAreOwed() {
        prove(OLD);
        run(Math.round(0.6 * REVOCATION_MILLIS) + BEAT_MILLIS);

        assertThat(allowsKeys(OLD)).isTrue();
    }

    @Example
    void withoutBoundKeysPassWithoutProof() {
        FreshnessLease unbounded = FreshnessLease.within(OptionalLong.empty());

        assertThat(unbounded.freshness(OLD, now())).isEqualTo(new Freshness(true, false));
        unbounded.recordAnswer(unbounded.ask(now()), OLD, now());
        assertThat(unbounded.freshness(OLD, now())).isEqualTo(Freshness.certain());
    }

    @Example
    void unknownKeyIsJudgedByFreshProofOnly() {
        prove(OLD);
        assertThat(lease.freshness(OLD, now()).showsUnknownKeys()).isTrue();
        run(APPLY_MILLIS);
        assertThat(lease.freshness(OLD, now()).showsUnknownKeys()).isFalse();
    }

    @Example
    void timeOfAnswerDoesNotCount() {
        long question = lease.ask(now());
        run(REVOCATION_MILLIS - 1_500);
        lease.recordAnswer(question, OLD, now());
        assertThat(allowsKeys(OLD)).isTrue();
        run(1_500);

        assertThat(allowsKeys(OLD)).isFalse();
    }

    @Example
    void proofCountsOnceItsVersionIsHeld() {
        prove(REVOKED);
        assertThat(allowsKeys(OLD)).isFalse();
        assertThat(allowsKeys(REVOKED)).isTrue();
    }

    @Example
    void confirmedLaterVersionDoesNotEndEarlierProof() {
        prove(OLD);
        run(BEAT_MILLIS);
        prove(REVOKED);

        assertThat(allowsKeys(OLD)).isTrue();
        run(REVOCATION_MILLIS - BEAT_MILLIS);
        assertThat(allowsKeys(OLD)).isFalse();
    }

    @Example
    void suspensionCounts() {
        prove(OLD);
        suspend(REVOCATION_MILLIS);

        assertThat(allowsKeys(OLD)).isFalse();
    }

    @Example
    void shortSuspensionEndsTheProofToo() {
        prove(OLD);
        suspend(1_000);

        assertThat(allowsKeys(OLD)).isFalse();
        prove(OLD);
        assertThat(allowsKeys(OLD)).isTrue();
    }

    @Example
    void processThatIsStoppedAloneLosesItsProofInTime() {
        prove(OLD);
        run(REVOCATION_MILLIS);

        assertThat(allowsKeys(OLD)).isFalse();
    }

    @Example
    void timeOfDaySetForwardEndsTheProof() {
        prove(OLD);
        wallMillis += 3_000;

        assertThat(allowsKeys(OLD)).isFalse();
    }

    @Example
    void timeOfDaySetBackEndsTheProof() {
        prove(OLD);
        wallMillis -= 3_000;

        assertThat(allowsKeys(OLD)).isFalse();
    }

    @Example
    void timeOfDaySetBackAndForthDoesNotRestoreTheProof() {
        prove(OLD);
        wallMillis -= 3_000;
        run(BEAT_MILLIS);
        lease.ask(now());
        wallMillis += 3_000;

        assertThat(allowsKeys(OLD)).isFalse();
    }

    @Example
    void timeOfDaySetBackBeforeSuspensionDoesNotHideIt() {
        prove(OLD);
        wallMillis -= 6_000;
        run(BEAT_MILLIS);
        lease.ask(now());
        suspend(6_000);

        assertThat(allowsKeys(OLD)).isFalse();
    }

    @Example
    void questionAskedBeforeSuspensionProvesNothingAfterIt() {
        long question = lease.ask(now());
        suspend(1_000);
        lease.recordAnswer(question, OLD, now());

        assertThat(allowsKeys(OLD)).isFalse();
    }

    @Example
    void repeatedAnswerDoesNotRenew() {
        long question = lease.ask(now());
        lease.recordAnswer(question, OLD, now());
        run(REVOCATION_MILLIS);
        lease.recordAnswer(question, OLD, now());

        assertThat(allowsKeys(OLD)).isFalse();
    }

    @Example
    void answerToUnknownQuestionProvesNothing() {
        lease.recordAnswer(1, OLD, now());

        assertThat(allowsKeys(OLD)).isFalse();
    }

    @Example
    void lateAnswerDoesNotReplaceLaterProof() {
        long first = lease.ask(now());
        run(3_000);
        prove(OLD);
        lease.recordAnswer(first, OLD, now());
        run(2_000);

        assertThat(allowsKeys(OLD)).isTrue();
    }

    /** The control that was asked is cut off; the new leader confirms no question of its. */
    @Example
    void nodeBesideControlThatLostItsMajorityHasNoProof() {
        prove(OLD);
        for (long passed = 0; passed < REVOCATION_MILLIS; passed += BEAT_MILLIS) {
            lease.ask(now());
            run(BEAT_MILLIS);
        }

        assertThat(allowsKeys(OLD)).isFalse();
    }

    /** Asked under one leader, confirmed by the next, which has acknowledged the revocation. */
    @Example
    void changeOfLeaderBetweenQuestionAndAnswerDoesNotProveTheOldVersion() {
        long question = lease.ask(now());
        run(1_000);
        lease.recordAnswer(question, REVOKED, now());

        assertThat(allowsKeys(OLD)).isFalse();
        assertThat(allowsKeys(REVOKED)).isTrue();
    }

    private record InFlight(long question, long version, long arrivesMillis) {}

    /**
     * Plays random faults: lost, late and repeated answers, updates that do not come, suspensions,
     * and steps of the time of day. A suspension and a step in the opposite direction do not fall
     * between two reads of the clocks.
     */
    @Property(tries = 2_000, seed = "20261204")
    void noKeyPassesAfterItsRevocation(@ForAll long seed) {
        Random random = new Random(seed);
        FreshnessLease played = FreshnessLease.within(OptionalLong.of(REVOCATION_MILLIS));
        List<InFlight> answers = new ArrayList<>();
        long acknowledgedMillis = 3_000 + random.nextInt(4_000);
        boolean updateComes = random.nextBoolean();
        long cutFromMillis = random.nextInt(10_000);
        long cutUntilMillis = cutFromMillis + random.nextInt(10_000);
        boolean cutOneWay = random.nextBoolean();
        long heldVersion = OLD;
        long trueMillis = 0;
        while (trueMillis < 25_000) {
            long step = 50 + random.nextInt(100);
            trueMillis += step;
            run(step);
            if (random.nextInt(60) == 0) {
                long suspended = random.nextInt(8_000);
                trueMillis += suspended;
                suspend(suspended);
            } else if (random.nextInt(60) == 0) {
                wallMillis += random.nextInt(16_000) - 8_000;
            }
            long present = trueMillis;
            boolean cut = present >= cutFromMillis && present < cutUntilMillis;
            long confirmed = present >= acknowledgedMillis ? REVOKED : OLD;
            if (random.nextInt(4) == 0) {
                long question = played.ask(now());
                if (!cut || cutOneWay) {
                    long delay = random.nextInt(10) == 0 ? random.nextInt(6_000) : 5;
                    answers.add(new InFlight(question, confirmed, present + delay));
                    if (random.nextInt(5) == 0) {
                        answers.add(new InFlight(question, confirmed, present + 2 * delay));
                    }
                }
            }
            for (InFlight answer : List.copyOf(answers)) {
                if (answer.arrivesMillis() <= present && !cut) {
                    answers.remove(answer);
                    played.recordAnswer(answer.question(), answer.version(), now());
                }
            }
            if (updateComes && !cut && present > acknowledgedMillis + 1_000) {
                heldVersion = REVOKED;
            }
            boolean oldKeyPasses =
                    heldVersion == OLD && played.freshness(heldVersion, now()).allowsKeys();
            if (present > acknowledgedMillis + REVOCATION_MILLIS) {
                assertWithMessage("at %s ms, acknowledged at %s ms", present, acknowledgedMillis)
                        .that(oldKeyPasses)
                        .isFalse();
            }
        }
    }

    @Example
    void nodeInTouchKeepsItsProof() {
        for (int beat = 0; beat < 100; beat++) {
            long question = lease.ask(now());
            run(BEAT_MILLIS);
            lease.recordAnswer(question, OLD, now());
            assertThat(lease.freshness(OLD, now())).isEqualTo(Freshness.certain());
        }
    }
}
