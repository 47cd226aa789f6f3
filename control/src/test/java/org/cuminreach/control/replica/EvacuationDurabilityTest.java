package org.cuminreach.control.replica;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.cuminreach.decisions.configuration.MeshCommand;

/** An acknowledged evacuation outlasts the loss of all power and the loss of a minority. */
class EvacuationDurabilityTest {
    private static final int VOTERS = 3;
    private static final long WAIT_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final Random random = new Random(5);

    @Example
    void acknowledgedEvacuationOutlastsRestartOfEveryControl() throws Exception {
        try (FakeControls controls = new FakeControls(17, VOTERS)) {
            order(controls, "west", true);
            for (int voter = 1; voter <= VOTERS; voter++) {
                controls.crashAndRestart("r" + voter);
            }
            order(controls, "east", true);
            awaitEverywhere(controls, List.of("east", "west"));

            order(controls, "west", false);
            for (int voter = 1; voter <= VOTERS; voter++) {
                controls.crashAndRestart("r" + voter);
            }
            order(controls, "east", true);
            awaitEverywhere(controls, List.of("east"));
        }
    }

    @Example
    void acknowledgedEvacuationOutlastsLossOfOneControl() throws Exception {
        try (FakeControls controls = new FakeControls(19, VOTERS)) {
            order(controls, "west", true);
            String leader =
                    controls.drivers().stream()
                            .filter(ReplicaDriver::isLeader)
                            .map(ReplicaDriver::self)
                            .findFirst()
                            .orElse("r1");
            controls.isolate(leader);
            order(controls, "west", true);

            long holding =
                    controls.drivers().stream()
                            .filter(driver -> !driver.self().equals(leader))
                            .filter(driver -> driver.configuration().isEvacuated("west"))
                            .count();
            assertThat(holding).isAtLeast(1);
        }
    }

    /** Sends an order to one control after the other until it is acknowledged. */
    private void order(FakeControls controls, String dataCentre, boolean evacuated)
            throws Exception {
        MeshCommand command = new MeshCommand.SetEvacuation("test", dataCentre, evacuated, 1);
        long deadline = System.nanoTime() + WAIT_NANOS;
        while (System.nanoTime() < deadline) {
            SubmitResult result =
                    controls.leaderOrAny(random)
                            .propose(command, FakeControls.nowMillis())
                            .completeOnTimeout(
                                    new SubmitResult.Unknown("no answer"), 1, TimeUnit.SECONDS)
                            .get();
            if (result instanceof SubmitResult.Decided) {
                return;
            }
            TimeUnit.MILLISECONDS.sleep(10);
        }
        throw new AssertionError("the order was not acknowledged");
    }

    private static void awaitEverywhere(FakeControls controls, List<String> evacuated)
            throws Exception {
        long deadline = System.nanoTime() + WAIT_NANOS;
        while (!holdEverywhere(controls, evacuated)) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError("not every control holds " + evacuated);
            }
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    private static boolean holdEverywhere(FakeControls controls, List<String> evacuated) {
        return controls.drivers().stream()
                .allMatch(
                        driver -> driver.configuration().evacuatedDataCentres().equals(evacuated));
    }
}
