package org.cuminreach.control.replica;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import net.jqwik.api.Example;
import org.cuminreach.decisions.configuration.HistoryEntry;
import org.cuminreach.decisions.configuration.MeshCommand;
import org.cuminreach.decisions.configuration.SubmissionOutcome;

/**
 * Concurrent operators submit and resend documents while controls crash, restart and are isolated.
 * Guards against outcomes that no single order of the submissions explains.
 */
class SubmissionLinearizabilityTest {
    private static final int OPERATORS = 4;
    private static final int SUBMISSIONS = 25;
    private static final int FAULTS = 8;
    private static final long ANSWER_TIMEOUT_MILLIS = 400;
    private static final long TEST_TIMEOUT_MILLIS = 60_000;

    private final SubmissionHistory history = new SubmissionHistory();
    private final AtomicLong knownVersion = new AtomicLong();

    @Example
    void concurrentSubmissionsAreLinearizable() throws Exception {
        ExecutorService operators = Executors.newFixedThreadPool(OPERATORS);
        try (FakeControls controls = new FakeControls(61, 3)) {
            List<Future<?>> running = new ArrayList<>();
            for (int number = 0; number < OPERATORS; number++) {
                int operator = number;
                running.add(operators.submit(() -> runOperator(controls, operator)));
            }
            injectFaults(controls);
            for (Future<?> done : running) {
                done.get(TEST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            }
            Map<String, SubmissionOutcome> outcomes = history.outcomesByKey();
            for (Map.Entry<String, SubmissionOutcome> first : outcomes.entrySet()) {
                assertThat(resendUntilDecided(controls, first.getKey()))
                        .isEqualTo(first.getValue());
            }
            List<HistoryEntry> accepted = longestHistory(controls);
            assertThat(accepted).isNotEmpty();
            history.checkLinearizable(accepted);
        } finally {
            operators.shutdownNow();
        }
    }

    private Void runOperator(FakeControls controls, int operator) throws InterruptedException {
        Random random = new Random(operator);
        for (int number = 0; number < SUBMISSIONS; number++) {
            String key = "operator-" + operator + "-" + number;
            long basedOn = knownVersion.get();
            for (int attempt = 0; attempt < 3; attempt++) {
                SubmitResult result = submit(controls.leaderOrAny(random), key, basedOn);
                if (result instanceof SubmitResult.Decided decided) {
                    updateKnownVersion(decided.outcome());
                    if (random.nextInt(4) > 0) {
                        break;
                    }
                } else {
                    TimeUnit.MILLISECONDS.sleep(random.nextInt(100));
                }
            }
        }
        return null;
    }

    private void updateKnownVersion(SubmissionOutcome outcome) {
        switch (outcome) {
            case SubmissionOutcome.Accepted accepted ->
                    knownVersion.accumulateAndGet(accepted.version(), Math::max);
            case SubmissionOutcome.RefusedAsStale stale ->
                    knownVersion.accumulateAndGet(stale.currentVersion(), Math::max);
            case SubmissionOutcome.RefusedAsFaulty faulty -> throw new AssertionError(faulty);
        }
    }

    private SubmitResult submit(ReplicaDriver driver, String key, long basedOn)
            throws InterruptedException {
        long start = System.nanoTime();
        SubmitResult result = propose(driver, key, basedOn);
        boolean unknown = result instanceof SubmitResult.Unknown;
        long end = unknown ? Long.MAX_VALUE : System.nanoTime();
        history.add(new SubmissionHistory.Attempt(key, basedOn, start, end, result));
        return result;
    }

    private static SubmitResult propose(ReplicaDriver driver, String key, long basedOn)
            throws InterruptedException {
        MeshCommand command = new MeshCommand.SubmitDocument(key, key, basedOn, "{}", 1);
        try {
            return driver.propose(command, FakeControls.nowMillis())
                    .get(ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException timeout) {
            return new SubmitResult.Unknown("no result within the timeout");
        } catch (ExecutionException failure) {
            throw new AssertionError(failure);
        }
    }

    private static void injectFaults(FakeControls controls) throws Exception {
        Random random = new Random(62);
        for (int fault = 0; fault < FAULTS; fault++) {
            TimeUnit.MILLISECONDS.sleep(150 + random.nextInt(300));
            String victim = controls.leaderOrAny(random).self();
            if (random.nextBoolean()) {
                controls.crashAndRestart(victim);
            } else {
                controls.isolate(victim);
                TimeUnit.MILLISECONDS.sleep(random.nextInt(2_500));
                controls.isolate("");
            }
        }
    }

    /** Resends until some control decides; the base version does not matter for a known key. */
    private static SubmissionOutcome resendUntilDecided(FakeControls controls, String key)
            throws InterruptedException {
        long deadline = FakeControls.nowMillis() + TEST_TIMEOUT_MILLIS;
        while (FakeControls.nowMillis() < deadline) {
            for (ReplicaDriver driver : controls.drivers()) {
                SubmitResult result =
                        driver.isLeader() ? propose(driver, key, -1) : new SubmitResult.NotRun("");
                if (result instanceof SubmitResult.Decided decided) {
                    return decided.outcome();
                }
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        throw new AssertionError("no control decided the submission of " + key);
    }

    private static List<HistoryEntry> longestHistory(FakeControls controls) {
        List<HistoryEntry> longest = List.of();
        for (ReplicaDriver driver : controls.drivers()) {
            List<HistoryEntry> known = driver.history();
            longest = known.size() > longest.size() ? known : longest;
        }
        return longest;
    }
}
