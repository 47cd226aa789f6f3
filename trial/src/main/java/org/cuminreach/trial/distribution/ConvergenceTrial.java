package org.cuminreach.trial.distribution;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeoutException;
import org.HdrHistogram.Histogram;
import org.cuminreach.decisions.membership.TargetPhase;

/**
 * Measures a mesh of one size: joining, idle traffic, configuration and target changes, and the
 * simultaneous reconnects after a restart of all nodes and of all controls.
 */
final class ConvergenceTrial {
    private static final long SEED = 20_260_101L;
    private static final int CHANGES = 10;
    private static final int TARGET_CHANGES = 20;
    private static final long TARGET_CHANGE_INTERVAL_MILLIS = 150;
    private static final long SETTLE_MILLIS = 1_500;
    private static final long IDLE_MEASUREMENT_MILLIS = 4_000;
    private static final double MILLIS_PER_SECOND = 1_000.0;
    private static final double MEBIBYTE = 1_024.0 * 1_024.0;
    private static final int P50 = 50;
    private static final int P99 = 99;

    private final Path projectFolder;
    private final int nodeCount;
    private final int controlCount;

    ConvergenceTrial(Path projectFolder, int nodeCount, int controlCount) {
        this.projectFolder = projectFolder;
        this.nodeCount = nodeCount;
        this.controlCount = controlCount;
    }

    ConvergenceResult run() throws IOException, InterruptedException, TimeoutException {
        try (ControlFleet controls = ControlFleet.prepare(projectFolder, controlCount)) {
            controls.start();
            long version = controls.submit(0, Workload.document(Workload.SERVICES, 0));
            try (NodeFleet nodes = NodeFleet.connect(nodeCount, controls.nodeAddresses(), SEED)) {
                return measure(controls, nodes, version);
            }
        }
    }

    private ConvergenceResult measure(ControlFleet controls, NodeFleet nodes, long first)
            throws IOException, InterruptedException, TimeoutException {
        nodes.awaitVersion(first);
        Thread.sleep(SETTLE_MILLIS);
        nodes.takeDeliveryTimes();

        long idleBytes = nodes.receivedBytes() + nodes.sentBytes();
        List<Long> idleCpuMillis = controls.cpuMillis();
        Thread.sleep(IDLE_MEASUREMENT_MILLIS);
        double idleBytesPerNode = perNode(nodes.receivedBytes() + nodes.sentBytes() - idleBytes);
        double idleMaxCpuMillis = maxCpuMillisSince(controls, idleCpuMillis);
        double idleBytesPerSecond =
                idleBytesPerNode / (IDLE_MEASUREMENT_MILLIS / MILLIS_PER_SECOND);
        double idleMillisPerSecond =
                idleMaxCpuMillis / (IDLE_MEASUREMENT_MILLIS / MILLIS_PER_SECOND);

        long startNanos = System.nanoTime();
        long changeBytes = nodes.receivedBytes();
        List<Long> cpuMillisBefore = controls.cpuMillis();
        long version = submitChanges(controls, nodes, first);
        double changeSeconds = (System.nanoTime() - startNanos) / 1e9;
        double changeBytesPerNode =
                perNode(nodes.receivedBytes() - changeBytes)
                        - idleBytesPerSecond / 2 * changeSeconds;
        double changeCpuMillis =
                maxCpuMillisSince(controls, cpuMillisBefore) - idleMillisPerSecond * changeSeconds;
        Histogram times = nodes.takeDeliveryTimes();

        double targetBytes = measureTargetChangeBytes(nodes, idleBytesPerSecond / 2);
        long residentBytes = controls.maxResidentBytes();

        long joinBytes = nodes.receivedBytes();
        nodes.restartAll();
        long nodeRecoveryMillis = nodes.awaitVersion(version);
        Thread.sleep(SETTLE_MILLIS);
        double joinBytesPerNode = perNode(nodes.receivedBytes() - joinBytes);
        long controlRecoveryMillis = measureControlRecovery(controls, nodes, version);
        return new ConvergenceResult(
                nodeCount,
                controlCount,
                times.getValueAtPercentile(P50),
                times.getValueAtPercentile(P99),
                times.getMaxValue(),
                idleBytesPerSecond,
                changeBytesPerNode / CHANGES,
                targetBytes,
                joinBytesPerNode,
                idleMillisPerSecond,
                changeCpuMillis / CHANGES,
                residentBytes / MEBIBYTE,
                nodeRecoveryMillis,
                controlRecoveryMillis,
                nodes.redirects());
    }

    private static long submitChanges(ControlFleet controls, NodeFleet nodes, long first)
            throws IOException, InterruptedException, TimeoutException {
        long version = first;
        for (int round = 1; round <= CHANGES; round++) {
            String document = Workload.document(Workload.SERVICES, round);
            nodes.startTiming();
            version = controls.submit(version, document);
            nodes.awaitVersion(version);
        }
        return version;
    }

    private double measureTargetChangeBytes(NodeFleet nodes, double idleReceivedPerSecond)
            throws InterruptedException {
        long bytes = nodes.receivedBytes();
        long startNanos = System.nanoTime();
        for (int change = 0; change < TARGET_CHANGES; change++) {
            nodes.announce(change / 2, change % 2 == 0 ? TargetPhase.DRAINING : TargetPhase.READY);
            Thread.sleep(TARGET_CHANGE_INTERVAL_MILLIS);
        }
        Thread.sleep(TARGET_CHANGE_INTERVAL_MILLIS);
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        double received = perNode(nodes.receivedBytes() - bytes);
        return (received - idleReceivedPerSecond * seconds) / TARGET_CHANGES;
    }

    private static long measureControlRecovery(ControlFleet controls, NodeFleet nodes, long version)
            throws IOException, InterruptedException, TimeoutException {
        long startNanos = System.nanoTime();
        controls.killAll();
        controls.start();
        long next = controls.submit(version, Workload.document(Workload.SERVICES, CHANGES + 1));
        nodes.awaitVersion(next);
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    private double perNode(long bytes) {
        return (double) bytes / nodeCount;
    }

    private static double maxCpuMillisSince(ControlFleet controls, List<Long> before)
            throws IOException {
        List<Long> after = controls.cpuMillis();
        long maxMillis = 0;
        for (int index = 0; index < after.size(); index++) {
            maxMillis = Math.max(maxMillis, after.get(index) - before.get(index));
        }
        return maxMillis;
    }
}
