package org.cuminreach.trial.balancing;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.RequestBuilder;
import org.cuminreach.runtime.log.LogFormat;
import org.cuminreach.runtime.log.LogLevel;
import org.cuminreach.runtime.log.LogSettings;
import org.cuminreach.runtime.log.LogSetup;
import org.cuminreach.settings.Address;

/**
 * Measures the latency that two nodes add to a call. Calls through both nodes alternate with calls
 * sent directly to the target, and each is timed from the moment at which it was due.
 */
public final class LatencyMain {
    private static final int WARM_UP_RATE = 1_500;
    private static final int WARM_UP_SECONDS = 10;
    private static final long MAX_MICROS = TimeUnit.SECONDS.toMicros(60);
    private static final long DRAIN_MILLIS = 1_000;
    private static final int IDLE_CONNECTIONS = 500;
    private static final double MICROS_PER_MILLI = 1_000;

    /** Results of the calls of one run that took the same path. */
    private static final class PathStatistics {
        private final Address address;
        private final Histogram micros = new ConcurrentHistogram(MAX_MICROS, 3);
        private final AtomicLong failed = new AtomicLong();

        private PathStatistics(Address address) {
            this.address = address;
        }

        private double millis(double percentile) {
            return micros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
        }
    }

    private final AsyncHttpClient client;
    private final LatencyMesh mesh;

    private LatencyMain(AsyncHttpClient client, LatencyMesh mesh) {
        this.client = client;
        this.mesh = mesh;
    }

    /**
     * Runs the measurement.
     *
     * @param arguments folder of the project, first port, seconds for each rate, and the rates of
     *     calls through the mesh in calls per second
     * @throws IOException when a process or file cannot be used
     * @throws InterruptedException when interrupted
     */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        LogSetup.apply(LogSettings.of(LogLevel.WARN, LogFormat.TEXT));
        int seconds = Integer.parseInt(arguments[2]);
        try (AsyncHttpClient client =
                        Dsl.asyncHttpClient(
                                Dsl.config()
                                        .setMaxRequestRetry(0)
                                        .setIoThreadsCount(2)
                                        .setRequestTimeout(Duration.ofSeconds(10)));
                LatencyMesh mesh =
                        LatencyMesh.start(Path.of(arguments[0]), Integer.parseInt(arguments[1]))) {
            LatencyMain latency = new LatencyMain(client, mesh);
            latency.measure(WARM_UP_RATE, WARM_UP_SECONDS, false);
            System.out.printf(
                    "%8s %-7s %8s %8s %8s %8s%n",
                    "calls/s", "path", "p50 ms", "p99 ms", "p99.9", "failed");
            for (int index = 3; index < arguments.length; index++) {
                latency.measure(Integer.parseInt(arguments[index]), seconds, true);
            }
            latency.measureConnectionMemory();
        }
    }

    private void measure(int rate, int seconds, boolean print)
            throws IOException, InterruptedException {
        PathStatistics direct = new PathStatistics(mesh.targetAddress());
        PathStatistics throughMesh = new PathStatistics(mesh.callerAddress());
        double cpuSecondsBefore = mesh.nodeCpuSeconds();
        long switchesBefore = mesh.nodeContextSwitches();
        long startNanos = System.nanoTime();
        long calls = (long) rate * seconds;
        long intervalNanos = TimeUnit.SECONDS.toNanos(1) / (2L * rate);
        for (long call = 0; call < 2 * calls; call++) {
            long dueNanos = startNanos + call * intervalNanos;
            while (System.nanoTime() < dueNanos) {
                LockSupport.parkNanos(Math.max(1, dueNanos - System.nanoTime()));
            }
            send(call % 2 == 0 ? direct : throughMesh, dueNanos);
        }
        Thread.sleep(DRAIN_MILLIS);
        double cpuSeconds = mesh.nodeCpuSeconds() - cpuSecondsBefore;
        double switches = mesh.nodeContextSwitches() - switchesBefore;
        if (print) {
            print(rate, "direct", direct);
            print(rate, "mesh", throughMesh);
            System.out.printf(
                    "%8d added   %8.3f %8.3f %8.3f   node calls per CPU second %.0f,"
                            + " thread switches per node call %.2f%n",
                    rate,
                    throughMesh.millis(50) - direct.millis(50),
                    throughMesh.millis(99) - direct.millis(99),
                    throughMesh.millis(99.9) - direct.millis(99.9),
                    2 * calls / cpuSeconds,
                    switches / (2 * calls));
        }
    }

    private static void print(int rate, String path, PathStatistics statistics) {
        System.out.printf(
                "%8d %-7s %8.3f %8.3f %8.3f %8d%n",
                rate,
                path,
                statistics.millis(50),
                statistics.millis(99),
                statistics.millis(99.9),
                statistics.failed.get());
    }

    private void send(PathStatistics statistics, long dueNanos) {
        RequestBuilder request =
                new RequestBuilder("GET")
                        .setUrl("http://" + statistics.address + "/")
                        .setHeader("Host", "back.example");
        client.executeRequest(request.build())
                .toCompletableFuture()
                .whenComplete(
                        (response, failure) -> {
                            long micros = (System.nanoTime() - dueNanos) / 1_000;
                            statistics.micros.recordValue(Math.clamp(micros, 0, MAX_MICROS));
                            if (failure != null || response.getStatusCode() != 200) {
                                statistics.failed.incrementAndGet();
                            }
                        });
    }

    private void measureConnectionMemory() throws IOException, InterruptedException {
        long kibibytesBefore = mesh.firstNodeResidentKibibytes();
        List<Socket> open = new ArrayList<>();
        byte[] request =
                "GET / HTTP/1.1\r\nHost: back.example\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
        for (int index = 0; index < IDLE_CONNECTIONS; index++) {
            Socket socket = new Socket(mesh.callerAddress().host(), mesh.callerAddress().port());
            socket.getOutputStream().write(request);
            int firstByte = socket.getInputStream().read();
            if (firstByte < 0) {
                throw new IOException(
                        "connection to the node was closed before the first byte of the response");
            }
            open.add(socket);
        }
        Thread.sleep(DRAIN_MILLIS);
        double growthKibibytes = mesh.firstNodeResidentKibibytes() - kibibytesBefore;
        System.out.printf(
                "node resident memory: %d KiB; each of %d more connections adds %.1f KiB%n",
                kibibytesBefore, IDLE_CONNECTIONS, growthKibibytes / IDLE_CONNECTIONS);
        for (Socket socket : open) {
            socket.close();
        }
    }
}
