package org.cuminreach.trial.agreement;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.HdrHistogram.Histogram;
import org.cuminreach.control.replica.ReplicaDriver;
import org.cuminreach.control.replica.SubmitResult;
import org.cuminreach.control.storage.DataFolder;
import org.cuminreach.decisions.agreement.LogEntry;
import org.cuminreach.decisions.agreement.Payload;
import org.cuminreach.decisions.configuration.MeshCommand;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.runtime.log.LogSetup;

/**
 * Measures the latency of a synced save, and the latency and throughput of submissions with 1, 3
 * and 5 replicas. All replicas share one disk, so with several of them the figures are higher than
 * on separate VMs. Arguments: a folder on the disk to measure, and the number of submissions.
 */
public final class SubmissionCostMain {
    private static final int[] REPLICA_COUNTS = {1, 3, 5};
    private static final int CONCURRENCY = 16;
    private static final int DOCUMENT_BYTES = 4_096;
    private static final long SEED = 71;
    private static final long MAX_MICROS = 60_000_000;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1_000;

    private SubmissionCostMain() {}

    /**
     * Measures and prints a table.
     *
     * @param arguments folder and number of submissions
     * @throws IOException when the folder cannot be used
     * @throws InterruptedException when interrupted
     * @throws ExecutionException when a submission fails
     */
    public static void main(String[] arguments)
            throws IOException, InterruptedException, ExecutionException {
        LogSetup.quiet();
        Path folder = Files.createTempDirectory(Path.of(arguments[0]), "submission-cost");
        int count = Integer.parseInt(arguments[1]);
        System.out.printf("%-32s %9s %9s %9s%n", "operation", "p50 ms", "p99 ms", "per s");
        print("synced save, 4 KiB entry", measureSaves(folder, count), 0);
        for (int replicas : REPLICA_COUNTS) {
            try (InProcessReplicas group = InProcessReplicas.start(folder, replicas, SEED)) {
                ReplicaDriver leader = group.leader();
                print(replicas + " replicas, sequential", measureSequential(leader, count), 0);
                Histogram concurrent = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
                print(
                        replicas + " replicas, " + CONCURRENCY + " concurrent",
                        concurrent,
                        measureConcurrent(leader, count, concurrent));
            }
        }
    }

    private static Histogram measureSaves(Path parent, int count) throws IOException {
        Histogram micros = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
        try (DataFolder folder = DataFolder.open(parent.resolve("saves"))) {
            folder.load();
            for (int index = 1; index <= count; index++) {
                Payload payload = new Payload.Command(new byte[DOCUMENT_BYTES]);
                long startNanos = System.nanoTime();
                folder.saveEntries(List.of(new LogEntry(index, 1, payload)));
                micros.recordValue(microsSince(startNanos));
            }
        }
        return micros;
    }

    private static Histogram measureSequential(ReplicaDriver leader, int count)
            throws InterruptedException, ExecutionException {
        Histogram micros = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
        for (int number = 0; number < count; number++) {
            long startNanos = System.nanoTime();
            submit(leader, "single-" + number).get();
            micros.recordValue(microsSince(startNanos));
        }
        return micros;
    }

    private static double measureConcurrent(ReplicaDriver leader, int count, Histogram micros)
            throws InterruptedException, ExecutionException {
        long startNanos = System.nanoTime();
        for (int number = 0; number < count; number += CONCURRENCY) {
            List<CompletableFuture<SubmitResult>> results = new ArrayList<>();
            long batchStartNanos = System.nanoTime();
            for (int offset = 0; offset < CONCURRENCY; offset++) {
                results.add(submit(leader, "together-" + (number + offset)));
            }
            for (CompletableFuture<SubmitResult> result : results) {
                result.get();
                micros.recordValue(microsSince(batchStartNanos));
            }
        }
        return micros.getTotalCount()
                * MICROS_PER_MILLI
                * MICROS_PER_MILLI
                / microsSince(startNanos);
    }

    /** Submits a document. Stale submissions are replicated through the log like accepted ones. */
    private static CompletableFuture<SubmitResult> submit(ReplicaDriver leader, String key) {
        String text = "{}" + " ".repeat(DOCUMENT_BYTES);
        MeshCommand command = new MeshCommand.SubmitDocument("trial", key, 0, text, 1);
        return leader.propose(command, ProcessClock.monotonicMillis());
    }

    private static long microsSince(long startNanos) {
        return Math.max(1, (System.nanoTime() - startNanos) / 1_000);
    }

    private static void print(String operation, Histogram micros, double perSecond) {
        System.out.printf(
                "%-32s %9.2f %9.2f %9s%n",
                operation,
                micros.getValueAtPercentile(50) / MICROS_PER_MILLI,
                micros.getValueAtPercentile(99) / MICROS_PER_MILLI,
                perSecond == 0 ? "" : Math.round(perSecond));
    }
}
