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
 * Measures what two nodes add to a call: calls through both and calls straight to the target are
 * sent in turn in one run, and each is timed from when it was due.
 */
public final class LatencyMain {
    private static final int WARM_UP_RATE = 1_500;
    private static final int WARM_UP_SECONDS = 10;
    private static final long MAX_MICROS = TimeUnit.SECONDS.toMicros(60);
    private static final long DRAIN_MILLIS = 1_000;
    private static final int IDLE_CONNECTIONS = 500;
    private static final double MICROS_PER_MILLI = 1_000;

    /** The calls of one kind in one run. */
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
     * @param arguments folder of the project, first port, seconds for each rate, and the rates in
     *     calls a second through the mesh
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
                    "calls/s", "way", "p50 ms", "p99 ms", "p99.9", "failed");
            for (int index = 3; index < arguments.length; index++) {
                latency.measure(Integer.parseInt(arguments[index]), seconds, true);
            }
            latency.measureConnectionMemory();
        }
    }

    private void measure(int rate, int seconds, boolean print)
            throws IOException, InterruptedException {
        PathStatistics direct = new PathStatistics(mesh.targetAddress());
        PathStatistics through = new PathStatistics(mesh.callerAddress());
        double cpuBefore = mesh.nodeCpuSeconds();
        long switchesBefore = mesh.nodeContextSwitches();
        long begunNanos = System.nanoTime();
        long calls = (long) rate * seconds;
        long gapNanos = TimeUnit.SECONDS.toNanos(1) / (2L * rate);
        for (long call = 0; call < 2 * calls; call++) {
            long dueNanos = begunNanos + call * gapNanos;
            while (System.nanoTime() < dueNanos) {
                LockSupport.parkNanos(Math.max(1, dueNanos - System.nanoTime()));
            }
            send(call % 2 == 0 ? direct : through, dueNanos);
        }
        Thread.sleep(DRAIN_MILLIS);
        double cpu = mesh.nodeCpuSeconds() - cpuBefore;
        double switches = mesh.nodeContextSwitches() - switchesBefore;
        if (print) {
            print(rate, "direct", direct);
            print(rate, "mesh", through);
            System.out.printf(
                    "%8d added   %8.3f %8.3f %8.3f   node calls per core second %.0f,"
                            + " thread switches per node call %.2f%n",
                    rate,
                    through.millis(50) - direct.millis(50),
                    through.millis(99) - direct.millis(99),
                    through.millis(99.9) - direct.millis(99.9),
                    2 * calls / cpu,
                    switches / (2 * calls));
        }
    }

    private static void print(int rate, String way, PathStatistics side) {
        System.out.printf(
                "%8d %-7s %8.3f %8.3f %8.3f %8d%n",
                rate, way, side.millis(50), side.millis(99), side.millis(99.9), side.failed.get());
    }

    private void send(PathStatistics side, long dueNanos) {
        RequestBuilder request =
                new RequestBuilder("GET")
                        .setUrl("http://" + side.address + "/")
                        .setHeader("Host", "back.example");
        client.executeRequest(request.build())
                .toCompletableFuture()
                .whenComplete(
                        (response, failure) -> {
                            long micros = (System.nanoTime() - dueNanos) / 1_000;
                            side.micros.recordValue(Math.clamp(micros, 0, MAX_MICROS));
                            if (failure != null || response.getStatusCode() != 200) {
                                side.failed.incrementAndGet();
                            }
                        });
    }

    private void measureConnectionMemory() throws IOException, InterruptedException {
        long before = mesh.firstNodeResidentKibibytes();
        List<Socket> open = new ArrayList<>();
        byte[] request =
                "GET / HTTP/1.1\r\nHost: back.example\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
        for (int index = 0; index < IDLE_CONNECTIONS; index++) {
            Socket socket = new Socket(mesh.callerAddress().host(), mesh.callerAddress().port());
            socket.getOutputStream().write(request);
            int first = socket.getInputStream().read();
            if (first < 0) {
                throw new IOException("a connection was closed before its answer");
            }
            open.add(socket);
        }
        Thread.sleep(DRAIN_MILLIS);
        double growth = mesh.firstNodeResidentKibibytes() - before;
        System.out.printf(
                "node memory: %d KiB; for each of %d more connections: %.1f KiB%n",
                before, IDLE_CONNECTIONS, growth / IDLE_CONNECTIONS);
        for (Socket socket : open) {
            socket.close();
        }
    }
}
