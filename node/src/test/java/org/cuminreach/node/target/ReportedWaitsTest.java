package org.cuminreach.node.target;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.cuminreach.decisions.membership.TargetPhase;
import org.cuminreach.decisions.routing.LoadReport;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.http.SendOutcome;
import org.cuminreach.node.settings.TargetDescription;
import org.cuminreach.runtime.EventLoops;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.runtime.http.HttpCall;
import org.cuminreach.runtime.http.HttpServer;
import org.cuminreach.settings.Address;

/** A target with one slot that answers calls, refuses them, fails at once or keeps them. */
class ReportedWaitsTest {
    private static final int RUN_MILLIS = 100;
    private static final int ANSWERED_CALLS = 25;
    private static final int UNSUCCESSFUL_CALLS = 60;
    private static final int FAILED_STATUS = 500;
    private static final int REFUSED_STATUS = 503;
    private static final int LONG_DEADLINE_MILLIS = 60_000;
    private static final long WAIT_SECONDS = 60;

    private final EventLoopGroup eventLoops = EventLoops.start(2);
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final CompletableFuture<HttpAnswer> kept = new CompletableFuture<>();

    /** Guards against refusals that are taken for short runs, which hides how long calls wait. */
    @Example
    void refusalsOfTargetDoNotShortenReportedWaits() throws Exception {
        assertThat(reportedWaitMillisAfter("/refuse", REFUSED_STATUS))
                .isAtLeast((int) (0.9 * 2 * RUN_MILLIS));
    }

    /** Guards against failures that are taken for short runs, which hides how long calls wait. */
    @Example
    void failuresOfTargetDoNotShortenReportedWaits() throws Exception {
        assertThat(reportedWaitMillisAfter("/fail", FAILED_STATUS))
                .isAtLeast((int) (0.9 * 2 * RUN_MILLIS));
    }

    /** Returns the wait behind a running and a waiting call, after calls without a success. */
    private int reportedWaitMillisAfter(String path, int status) throws Exception {
        Address address = freeAddress();
        HttpServer target = HttpServer.listen(address, eventLoops, this::runAtTarget).join();
        TargetClient client = TargetClient.create(eventLoops);
        try {
            TargetAdmissionHandler handler = handler(address, client);
            for (int call = 0; call < ANSWERED_CALLS; call++) {
                assertThat(answer(handler, "/answer").status()).isEqualTo(200);
            }
            for (int call = 0; call < UNSUCCESSFUL_CALLS; call++) {
                assertThat(answer(handler, path).status()).isEqualTo(status);
            }
            CompletableFuture<HttpAnswer> running =
                    handler.handle(call("/keep", LONG_DEADLINE_MILLIS));
            CompletableFuture<HttpAnswer> waiting =
                    handler.handle(call("/answer", LONG_DEADLINE_MILLIS));
            HttpAnswer refused = handler.handle(call("/answer", 0)).get();
            LoadReport report =
                    LoadReport.parse(refused.headers().get(MeshHeaders.LOAD)).orElseThrow();
            kept.complete(HttpAnswer.of(200, "text/plain", ""));
            running.get(WAIT_SECONDS, TimeUnit.SECONDS);
            waiting.get(WAIT_SECONDS, TimeUnit.SECONDS);
            assertThat(report.waiting()).isEqualTo(1);
            return report.waitMillis(0);
        } finally {
            client.closeIdle();
            target.close();
            timer.shutdownNow();
            EventLoops.stop(eventLoops);
        }
    }

    private static HttpAnswer answer(TargetAdmissionHandler handler, String path) throws Exception {
        return handler.handle(call(path, LONG_DEADLINE_MILLIS)).get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private CompletableFuture<HttpAnswer> runAtTarget(HttpCall call) {
        if (call.path().equals("/keep")) {
            return kept;
        }
        if (call.path().equals("/refuse")) {
            return CompletableFuture.completedFuture(
                    HttpAnswer.of(REFUSED_STATUS, "text/plain", ""));
        }
        if (call.path().equals("/fail")) {
            return CompletableFuture.completedFuture(
                    HttpAnswer.of(FAILED_STATUS, "text/plain", ""));
        }
        CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
        timer.schedule(
                () -> answer.complete(HttpAnswer.of(200, "text/plain", "")),
                RUN_MILLIS,
                TimeUnit.MILLISECONDS);
        return answer;
    }

    private static TargetAdmissionHandler handler(Address address, TargetClient client) {
        TargetDescription description =
                new TargetDescription("node", "service", "1", address, 1, TargetPhase.READY);
        return TargetAdmissionHandler.create(
                "node",
                () -> Optional.of(description),
                client,
                new RefusingProtocol(TargetProtocol.passThrough()),
                TargetMetrics.register(new PrometheusRegistry()),
                ColdSettings.none());
    }

    /** Reads answers with the status 503 as refusals by the target. */
    private record RefusingProtocol(TargetProtocol other) implements TargetProtocol {
        @Override
        public HttpHeaders requestHeaders(HttpHeaders endToEnd, TargetCallMetadata metadata) {
            return other.requestHeaders(endToEnd, metadata);
        }

        @Override
        public boolean isAnswerTo(HttpHeaders headers, String requestId) {
            return other.isAnswerTo(headers, requestId);
        }

        @Override
        public boolean isIdentified(HttpHeaders headers) {
            return other.isIdentified(headers);
        }

        @Override
        public SendOutcome readAnswer(HttpAnswer answer) {
            return answer.status() == REFUSED_STATUS
                    ? new SendOutcome.Refused("full", 1)
                    : other.readAnswer(answer);
        }

        @Override
        public boolean isFromAddressedTarget(HttpAnswer answer) {
            return other.isFromAddressedTarget(answer);
        }

        @Override
        public TargetNotice readNotice(HttpHeaders headers) {
            return other.readNotice(headers);
        }
    }

    private static HttpCall call(String path, int deadlineMillis) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(MeshHeaders.CALLER, "@a");
        headers.set(MeshHeaders.REMAINING_MILLIS, deadlineMillis);
        return new HttpCall("POST", path, headers, new byte[0], "127.0.0.1");
    }

    private static Address freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new Address("127.0.0.1", socket.getLocalPort());
        }
    }
}
