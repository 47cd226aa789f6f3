package org.cuminreach.control.replica;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cuminreach.decisions.configuration.MeshCommand;
import org.cuminreach.decisions.configuration.SubmissionOutcome;

class FullDisksTest {
    private static final int CONTROLS = 5;

    /** Time within which an order must be acknowledged while most controls are well. */
    private static final long ACKNOWLEDGEMENT_MILLIS = 4_000;

    private static final long MEBIBYTE = 1024 * 1024;
    private int submissions;

    @Property(seed = "3611", tries = 4)
    void changesAreAcceptedAfterDisksWereFullOneAfterAnother(@ForAll long seed) throws Exception {
        Random random = new Random(seed);
        try (FakeControls controls = new FakeControls(seed, CONTROLS)) {
            assertThat(isAcceptedInTime(controls, random)).isTrue();
            List<String> order = new ArrayList<>(controls.identities());
            Collections.shuffle(order, random);
            for (String full : order) {
                controls.setDiskFull(full, true, 0);
                long endMillis = FakeControls.nowMillis() + 300 + random.nextInt(1_500);
                while (FakeControls.nowMillis() < endMillis) {
                    submit(controls, random);
                }
                controls.setDiskFull(full, false, Long.MAX_VALUE);
            }

            assertThat(isAcceptedInTime(controls, random)).isTrue();
        }
    }

    @Example
    void changesAreAcceptedWhileOnlyTheDiskOfTheLeaderIsFull() throws Exception {
        Random random = new Random(3612);
        try (FakeControls controls = new FakeControls(3612, CONTROLS)) {
            assertThat(isAcceptedInTime(controls, random)).isTrue();
            String leader = awaitLeader(controls);
            controls.setDiskFull(leader, true, 0);

            assertThat(isAcceptedInTime(controls, random)).isTrue();
            controls.setDiskFull(leader, false, Long.MAX_VALUE);
        }
    }

    @Example
    void changesAreAcceptedOnceFullDisksHaveSomeRoomAgain() throws Exception {
        Random random = new Random(3613);
        try (FakeControls controls = new FakeControls(3613, CONTROLS)) {
            assertThat(isAcceptedInTime(controls, random)).isTrue();
            for (String full : controls.identities()) {
                controls.setDiskFull(full, true, 0);
                TimeUnit.MILLISECONDS.sleep(200);
                controls.setDiskFull(full, false, 64 * MEBIBYTE);
            }

            assertThat(isAcceptedInTime(controls, random)).isTrue();
        }
    }

    private String awaitLeader(FakeControls controls) throws InterruptedException {
        while (true) {
            Optional<ReplicaDriver> leader =
                    controls.drivers().stream().filter(ReplicaDriver::isLeader).findFirst();
            if (leader.isPresent()) {
                return leader.get().self();
            }
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    private boolean isAcceptedInTime(FakeControls controls, Random random)
            throws InterruptedException {
        long endMillis = FakeControls.nowMillis() + ACKNOWLEDGEMENT_MILLIS;
        while (FakeControls.nowMillis() < endMillis) {
            if (submit(controls, random) instanceof SubmitResult.Decided decided
                    && decided.outcome() instanceof SubmissionOutcome.Accepted) {
                return true;
            }
        }
        return false;
    }

    /** Submits to the leader as most controls know it, and waits as long as an operator does. */
    private SubmitResult submit(FakeControls controls, Random random) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(20);
        ReplicaDriver receiver = controls.leaderOrAny(random);
        MeshCommand command =
                new MeshCommand.SubmitDocument(
                        "operator",
                        "key-" + ++submissions,
                        receiver.configuration().documentVersion(),
                        "{/*" + submissions + "*/}",
                        0);
        try {
            return receiver.propose(command, FakeControls.nowMillis())
                    .get(500, TimeUnit.MILLISECONDS);
        } catch (TimeoutException late) {
            return new SubmitResult.Unknown("no answer in time");
        } catch (ExecutionException failure) {
            throw new IllegalStateException(failure);
        }
    }
}
