package org.cuminreach.trial.load;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.settings.Address;
import org.cuminreach.trial.standin.StandInTarget;

/** Open-loop load generator: sends numbered calls at a steady rate without awaiting answers. */
public final class LoadGenerator implements AutoCloseable {
    private static final long SEND_INTERVAL_MILLIS = 5;
    private static final double RAMP_UP_NANOS = 10e9;
    private static final int MILLIS_PER_SECOND = 1_000;
    private static final long MAX_MICROS = TimeUnit.SECONDS.toMicros(60);
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);

    /**
     * Method, host and path of the requests to send.
     *
     * @param method HTTP method
     * @param host value of the Host header
     * @param path path and query
     */
    public record RequestTemplate(String method, String host, String path) {}

    private final List<Address> nodes;
    private final List<RequestTemplate> templates;
    private final int callsPerSecond;
    private final CallStatistics statistics = CallStatistics.empty();
    private final Histogram latencyMicros = new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private final AtomicLong lastNumber = new AtomicLong();
    private final AsyncHttpClient client;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final long startNanos = System.nanoTime();
    private double dueCalls;

    private LoadGenerator(
            List<Address> nodes, List<RequestTemplate> templates, int callsPerSecond) {
        this.nodes = List.copyOf(nodes);
        this.templates = List.copyOf(templates);
        this.callsPerSecond = callsPerSecond;
        this.client =
                Dsl.asyncHttpClient(
                        Dsl.config()
                                .setMaxRequestRetry(0)
                                .setIoThreadsCount(2)
                                .setRequestTimeout(CALL_TIMEOUT));
    }

    /**
     * Starts sending.
     *
     * @param nodes addresses of the nodes for callers, used in turn
     * @param templates requests to send, used in turn
     * @param callsPerSecond total rate of calls
     * @return the running generator
     */
    public static LoadGenerator start(
            List<Address> nodes, List<RequestTemplate> templates, int callsPerSecond) {
        LoadGenerator generator = new LoadGenerator(nodes, templates, callsPerSecond);
        generator.timer.scheduleAtFixedRate(
                generator::sendDueCalls,
                SEND_INTERVAL_MILLIS,
                SEND_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        return generator;
    }

    /**
     * Stops sending and waits for outstanding answers, at most for the call timeout.
     *
     * @throws InterruptedException when interrupted while waiting
     */
    public void finish() throws InterruptedException {
        timer.shutdown();
        long deadline = System.nanoTime() + CALL_TIMEOUT.toNanos();
        while (statistics.outcomes().size() < statistics.sentCount()
                && System.nanoTime() < deadline) {
            Thread.sleep(SEND_INTERVAL_MILLIS);
        }
    }

    /**
     * Returns the outcomes of the calls.
     *
     * @return the statistics
     */
    public CallStatistics statistics() {
        return statistics;
    }

    /**
     * Returns the latencies of the calls.
     *
     * @return a histogram in microseconds
     */
    public Histogram latencyMicros() {
        return latencyMicros;
    }

    @Override
    public void close() throws IOException {
        timer.shutdownNow();
        client.close();
    }

    private void sendDueCalls() {
        dueCalls += callsPerSecond * rampUpShare() * SEND_INTERVAL_MILLIS / MILLIS_PER_SECOND;
        while (dueCalls >= 1) {
            dueCalls--;
            send();
        }
    }

    /** Raises the rate over the first 10 s, because every process of a trial starts cold. */
    private double rampUpShare() {
        return Math.min(1, (System.nanoTime() - startNanos) / RAMP_UP_NANOS);
    }

    private void send() {
        long sequence = lastNumber.incrementAndGet();
        RequestTemplate template = templates.get((int) (sequence % templates.size()));
        Address node = nodes.get((int) (sequence / templates.size() % nodes.size()));
        String number = "call-" + sequence;
        long begunNanos = System.nanoTime();
        statistics.recordSent();
        RequestBuilder request =
                new RequestBuilder(template.method())
                        .setUrl("http://" + node + template.path())
                        .setHeader("Host", template.host())
                        .setHeader(StandInTarget.NUMBER_HEADER, number)
                        .setHeader(MeshHeaders.CALLER, "caller-" + sequence % 20);
        client.executeRequest(request.build())
                .toCompletableFuture()
                .whenComplete(
                        (response, failure) -> {
                            latencyMicros.recordValue(
                                    Math.min(MAX_MICROS, (System.nanoTime() - begunNanos) / 1_000));
                            statistics.recordOutcome(number, outcome(number, response, failure));
                        });
    }

    private static CallOutcome outcome(String number, Response response, Throwable failure) {
        if (failure != null) {
            return CallOutcome.UNKNOWN;
        }
        String outcomeHeader = response.getHeader(MeshHeaders.OUTCOME);
        if (MeshHeaders.NOT_RUN.equals(outcomeHeader)) {
            return CallOutcome.NOT_RUN;
        }
        if (!MeshHeaders.ANSWERED.equals(outcomeHeader)) {
            return CallOutcome.UNKNOWN;
        }
        if (!response.getResponseBody().startsWith(number + " ")) {
            return CallOutcome.MISMATCHED;
        }
        return response.getStatusCode() == 200 ? CallOutcome.SUCCEEDED : CallOutcome.FAILED;
    }
}
