package org.cuminreach.decisions.quota;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Plays tenants of very different sizes through 78 nodes and 5 controls. */
final class QuotaModelTest {
    private static final int NODES = 78;
    private static final int CONTROLS = 5;
    private static final int TENANTS = 81;
    private static final double CALLS_PER_SECOND = 1_283;
    private static final int DEAD_SECONDS = 5;
    private static final int WARM_UP_MILLIS = 8_000;

    private static QuotaModel mesh(long seed) {
        return QuotaModel.of(seed, NODES, CONTROLS, true, TENANTS, CALLS_PER_SECOND)
                .run(WARM_UP_MILLIS)
                .startCounting();
    }

    private static void assertBoundHolds(QuotaModel mesh) {
        for (TenantLoad load : mesh.loads()) {
            assertWithMessage("calls of %s in a window", load.name)
                    .that(load.mostInWindow)
                    .isAtMost(QuotaLimit.maxCalls(load.tenant, QuotaModel.BOUND));
        }
    }

    private static void assertLostShareAtMost(QuotaModel mesh, double share) {
        assertWithMessage("lost of %s calls", mesh.calls())
                .that((double) mesh.lost() / mesh.calls())
                .isAtMost(share);
    }

    @Example
    void callsWithinTheQuotasPass() {
        QuotaModel mesh = mesh(1).run(20_000);

        assertBoundHolds(mesh);
        assertLostShareAtMost(mesh, 0.001);
        assertThat((double) mesh.messages() / mesh.calls()).isAtMost(2.5);
    }

    @Example
    void aTenantWithManyTimesItsUsualGetsItsQuotaAndNoMore() {
        for (double factor : new double[] {5, 9}) {
            QuotaModel mesh = mesh(2).heat(3, factor).run(7_000).heat(3, 1).run(6_000);

            assertBoundHolds(mesh);
            assertLostShareAtMost(mesh, 0.001);
        }
    }

    @Example
    void callsThroughOneNodeGetTheTokensOfAllControls() {
        QuotaModel mesh = mesh(3).callOneNode().run(10_000);

        assertBoundHolds(mesh);
        assertLostShareAtMost(mesh, 0.02);
    }

    @Example
    void theLeaderDiesWhileGrantsRun() {
        QuotaModel mesh =
                mesh(4).heat(2, 5)
                        .stopControl(0)
                        .loseLeader(2_500)
                        .run(DEAD_SECONDS * 1_000)
                        .heat(2, 1);
        mesh.startControl(0).run(6_000);

        assertBoundHolds(mesh);
        double shareOfDeadControl =
                DEAD_SECONDS
                        * (mesh.load(1).tenant.ratePerSecond()
                                + mesh.load(2).tenant.ratePerSecond())
                        / CONTROLS;
        double callsWhileNodesReconnect =
                QuotaModel.RECONNECT_MILLIS / 1_000.0 * CALLS_PER_SECOND / CONTROLS;
        assertThat((double) mesh.lost()).isAtMost(shareOfDeadControl + callsWhileNodesReconnect);
    }

    @Example
    void aLostLeaderAloneCostsNothing() {
        QuotaModel mesh = mesh(5).loseLeader(3_000).run(5_000);

        assertLostShareAtMost(mesh, 0.001);
    }

    @Example
    void allPowerIsLostWithGrantsOut() {
        QuotaModel mesh = mesh(6).heat(3, 9).run(2_000).loseAllPower().run(3_000);
        mesh.loseAllPower().run(5_000);

        assertBoundHolds(mesh);
    }

    @Example
    void nodesRestartWhileTenantIsHot() {
        QuotaModel mesh = mesh(7).heat(1, 9);
        for (int herd = 0; herd < 6; herd++) {
            mesh.run(1_000).restartNodes(NODES / 2);
        }
        mesh.run(2_000);

        assertBoundHolds(mesh);
    }

    @Example
    void aLowerLimitBindsOneWindowLater() {
        QuotaModel mesh = mesh(8).heat(3, 7).run(2_000).changeLimits(0.5);
        mesh.run(QuotaModel.BOUND.windowMillis()).startCounting().run(8_000);

        assertBoundHolds(mesh);
    }

    @Example
    void aHigherLimitIsUsedAtOnce() {
        QuotaModel mesh = mesh(9).changeLimits(0.5).run(10_000).changeLimits(1.6);
        mesh.run(1_000).startCounting().run(5_000);

        assertBoundHolds(mesh);
        assertLostShareAtMost(mesh, 0.001);
    }

    @Example
    void limitsThatGoUpAndDownGrantNoMoreThanTheHighest() {
        QuotaModel mesh = mesh(10).heat(5, 7);
        for (int change = 0; change < 40; change++) {
            mesh.changeLimits(change % 2 == 0 ? 0.3 : 1.6).run(300);
        }
        mesh.changeLimits(1.6);

        assertBoundHolds(mesh);
    }

    @Example
    void nodesWithoutControlLetNothingPass() {
        QuotaModel mesh = mesh(11).cutNodes(NODES, true).run(1_000).startCounting().run(2_000);

        assertThat(mesh.passed()).isEqualTo(0);
    }

    @Example
    void aControlThatIsCutOffLosesItsShare() {
        QuotaModel mesh = mesh(12).heat(3, 9).cutControl(4, true).run(10_000);
        mesh.cutControl(4, false).run(5_000);

        assertBoundHolds(mesh);
    }

    @Property(tries = 25, seed = "29")
    void noFaultLetsMorePassThanTheBound(@ForAll Random random) {
        QuotaModel mesh = mesh(random.nextLong());
        for (int step = 0; step < 12; step++) {
            switch (random.nextInt(9)) {
                case 0 -> mesh.heat(1 + random.nextInt(5), 5 + random.nextInt(5));
                case 1 -> mesh.restartNodes(1 + random.nextInt(NODES));
                case 2 -> mesh.loseAllPower();
                case 3 -> mesh.loseLeader(random.nextInt(6_000));
                case 4 -> mesh.cutControl(random.nextInt(CONTROLS), random.nextBoolean());
                case 5 -> mesh.cutNodes(1 + random.nextInt(NODES), random.nextBoolean());
                case 6 -> mesh.stopControl(random.nextInt(CONTROLS - 1));
                case 7 -> mesh.startControl(random.nextInt(CONTROLS));
                default -> mesh.callOneNode();
            }
            mesh.run(100 + random.nextInt(2_000));
        }

        assertBoundHolds(mesh);
    }

    @Example
    void sharesOfSingleNodesLoseMoreThanSharesOfControls() {
        QuotaModel shares = QuotaModel.of(13, NODES, NODES, false, TENANTS, CALLS_PER_SECOND);
        shares.run(WARM_UP_MILLIS).startCounting().run(5_000);

        assertThat(shares.lost()).isGreaterThan(mesh(13).run(5_000).lost());
    }
}
