package org.cuminreach.decisions.distribution;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class DistributionDecisionsTest {
    /** A node that is rarely writable receives everything in the end, targets first. */
    @Property(seed = "131", tries = 500)
    void slowNodeReceivesEverythingInFewSteps(@ForAll long seed) {
        Random random = new Random(seed);
        NodeSyncState state = NodeSyncState.of(random.nextInt(3));
        long revision = 0;
        long version = 3;
        int updates = 0;
        int writable = 0;
        long targetsSent = -1;
        for (int round = 0; round < 200; round++) {
            revision += random.nextInt(2);
            version += random.nextInt(2);
            if (random.nextInt(10) != 0) {
                continue;
            }
            writable++;
            SyncStep step = state.next(revision, version);
            while (!(step instanceof SyncStep.Nothing)) {
                if (step instanceof SyncStep.SendTargets targets) {
                    targetsSent = targets.toRevision();
                } else {
                    assertThat(targetsSent).isEqualTo(revision);
                }
                state.recordSent(step);
                updates++;
                step = state.next(revision, version);
            }
        }

        assertThat(updates).isAtMost(2 * writable);
    }

    @Property(seed = "132", tries = 300)
    void reconnectDelaysStayWithinBounds(@ForAll long seed) {
        Random random = new Random(seed);
        ReconnectBackoff backoff = ReconnectBackoff.between(100, 5_000);
        long last = 100;
        for (int loss = 0; loss < 30; loss++) {
            long delay = backoff.next(random);
            assertThat(delay).isAtLeast(100);
            assertThat(delay).isAtMost(Math.min(5_000, 3 * last));
            last = delay;
        }
        assertThat(backoff.nextRequested(60_000, random)).isAtMost(5_100);
        assertThat(backoff.nextRequested(700, random)).isAtLeast(700);
    }

    @Example
    void reconnectDelaysOfManyNodesAreSpread() {
        Random random = new Random(5);
        int[] perSecond = new int[6];
        for (int node = 0; node < 2_300; node++) {
            ReconnectBackoff backoff = ReconnectBackoff.between(100, 5_000);
            long atMillis = 0;
            for (int loss = 0; loss < 6; loss++) {
                atMillis = backoff.next(random);
            }
            perSecond[(int) (atMillis / 1_000)]++;
        }
        for (int second = 0; second < 4; second++) {
            assertThat(perSecond[second]).isAtMost(2_300 * 3 / 5);
        }
    }

    @Example
    void onlyLongQuorumLossIsReported() {
        QuorumLossDetector detector = QuorumLossDetector.of(2_000);
        assertThat(detector.isQuorumLost(0, false)).isFalse();
        assertThat(detector.isQuorumLost(1_900, false)).isFalse();
        assertThat(detector.isQuorumLost(1_950, true)).isFalse();
        assertThat(detector.isQuorumLost(2_100, false)).isFalse();
        assertThat(detector.isQuorumLost(4_100, false)).isTrue();
    }

    @Example
    void nodeDoesNotMoveSoonAfterLosingControl() {
        RedirectPolicy policy = RedirectPolicy.create();
        assertThat(policy.mayRedirect(0)).isTrue();

        policy.recordLoss(1_000);

        assertThat(policy.mayRedirect(13_000)).isFalse();
        assertThat(policy.mayRedirect(15_000)).isTrue();
    }

    @Example
    void controlKeepsLocalNodesUpToTwiceItsFairShare() {
        assertThat(SessionBalancePolicy.hasTooManySessions(40, 95, 5)).isFalse();
        assertThat(SessionBalancePolicy.hasTooManySessions(47, 95, 5)).isTrue();
        assertThat(SessionBalancePolicy.hasTooManySessions(1, 1, 5)).isFalse();
    }

    /** Moving sessions as decided balances them and then stops. */
    @Property(seed = "133", tries = 200)
    void rebalancingConverges(@ForAll long seed) {
        Random random = new Random(seed);
        int[] sessions = {random.nextInt(2_300), random.nextInt(2_300), random.nextInt(2_300)};
        int moved = 1;
        for (int round = 0; round < 5_000 && moved > 0; round++) {
            moved = 0;
            for (int control = 0; control < sessions.length; control++) {
                List<Integer> others = new ArrayList<>();
                for (int other = 0; other < sessions.length; other++) {
                    if (other != control) {
                        others.add(sessions[other]);
                    }
                }
                int moving = SessionBalancePolicy.sessionsToMove(sessions[control], others, 5);
                for (int node = 0; node < moving; node++) {
                    sessions[control]--;
                    sessions[(control + 1 + random.nextInt(2)) % sessions.length]++;
                }
                moved += moving;
            }
        }
        assertThat(moved).isEqualTo(0);
    }
}
