package org.cuminreach.node.target;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;
import org.cuminreach.decisions.membership.TargetPhase;
import org.cuminreach.decisions.routing.LoadReport;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.settings.TargetDescription;
import org.cuminreach.runtime.EventLoops;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.runtime.http.HttpCall;
import org.cuminreach.runtime.http.HttpServer;
import org.cuminreach.settings.Address;

class TargetAdmissionHandlerTest {
    private static final int SLOTS = 3;
    private static final int CALLS = 300;
    private static final long SERVICE_MILLIS = 5;
    private static final long WAIT_SECONDS = 60;

    private final EventLoopGroup eventLoops = EventLoops.start(2);
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger maxRunning = new AtomicInteger();

    @Example
    void everyCallIsAnsweredAndRefusedCallsDoNotRun() throws Exception {
        Address address = freeAddress();
        HttpServer target = HttpServer.listen(address, eventLoops, this::runAtTarget).join();
        TargetDescription description =
                new TargetDescription("node", "service", "1", address, SLOTS, TargetPhase.READY);
        TargetClient client = TargetClient.create(eventLoops);
        try {
            TargetAdmissionHandler handler =
                    TargetAdmissionHandler.create(
                            "node",
                            () -> Optional.of(description),
                            client,
                            TargetProtocol.passThrough(),
                            TargetMetrics.register(new PrometheusRegistry()),
                            ColdSettings.none());
            timer.scheduleWithFixedDelay(
                    () -> handler.onTimer(ProcessClock.monotonicMillis()),
                    20,
                    20,
                    TimeUnit.MILLISECONDS);

            Map<String, CompletableFuture<HttpAnswer>> answers = new HashMap<>();
            for (int call = 0; call < CALLS; call++) {
                String number = "call-" + call;
                answers.put(number, handler.handle(call(number, call % 2 == 0 ? "a" : "b")));
            }
            List<String> refused = new ArrayList<>();
            for (Map.Entry<String, CompletableFuture<HttpAnswer>> entry : answers.entrySet()) {
                HttpAnswer answer = entry.getValue().get(WAIT_SECONDS, TimeUnit.SECONDS);
                assertThat(LoadReport.parse(answer.headers().get(MeshHeaders.LOAD)).isPresent())
                        .isTrue();
                if (answer.status() == 503) {
                    refused.add(entry.getKey());
                    assertThat(answer.headers().get(MeshHeaders.OUTCOME))
                            .isEqualTo(MeshHeaders.NOT_RUN);
                    assertThat(answer.headers().get("Retry-After")).isNotNull();
                } else {
                    assertThat(new String(answer.body(), StandardCharsets.UTF_8))
                            .isEqualTo(entry.getKey());
                }
            }

            assertThat(refused).isNotEmpty();
            assertThat(ran).containsNoneIn(refused);
            assertThat(ran.size() + refused.size()).isEqualTo(CALLS);
            assertThat(maxRunning.get()).isAtMost(SLOTS);
            assertThat(handler.running()).isEqualTo(0);
            assertThat(handler.waiting()).isEqualTo(0);
        } finally {
            client.closeIdle();
            target.close();
            timer.shutdownNow();
            EventLoops.stop(eventLoops);
        }
    }

    @Example
    void limitKnownToCallersIsNotLostWithRestartOfNode() throws Exception {
        Address address = freeAddress();
        HttpServer target = HttpServer.listen(address, eventLoops, this::runAtTarget).join();
        TargetDescription description =
                new TargetDescription("start-1", "service", "1", address, SLOTS, TargetPhase.READY);
        TargetClient client = TargetClient.create(eventLoops);
        try {
            TargetAdmissionHandler justStarted =
                    TargetAdmissionHandler.create(
                            "node",
                            () -> Optional.of(description),
                            client,
                            TargetProtocol.passThrough(),
                            TargetMetrics.register(new PrometheusRegistry()),
                            ColdSettings.none());
            for (int call = 0; call < SLOTS; call++) {
                HttpCall sent = call("call-" + call, "a");
                sent.headers()
                        .set(MeshHeaders.TARGET_START, "start-1")
                        .set(MeshHeaders.TARGET_LIMIT, "0.5");
                CompletableFuture<HttpAnswer> answer = justStarted.handle(sent);
                assertThat(answer.get(WAIT_SECONDS, TimeUnit.SECONDS).status()).isEqualTo(503);
            }

            assertThat(ran).isEmpty();
            assertThat(justStarted.limitPerSecond()).isEqualTo(0.5);
        } finally {
            client.closeIdle();
            target.close();
            timer.shutdownNow();
            EventLoops.stop(eventLoops);
        }
    }

    @Example
    void evacuationRefusesWaitingAndNewCallsUntilItEnds() throws Exception {
        Address address = freeAddress();
        HttpServer target = HttpServer.listen(address, eventLoops, this::runAtTarget).join();
        TargetDescription description =
                new TargetDescription("node", "service", "1", address, SLOTS, TargetPhase.READY);
        TargetClient client = TargetClient.create(eventLoops);
        AtomicBoolean evacuated = new AtomicBoolean();
        try {
            TargetAdmissionHandler handler =
                    TargetAdmissionHandler.create(
                            "node",
                            () -> Optional.of(description),
                            client,
                            TargetProtocol.passThrough(),
                            TargetMetrics.register(new PrometheusRegistry()),
                            ColdSettings.none());
            handler.setEvacuationCheck(evacuated::get);
            List<CompletableFuture<HttpAnswer>> answers = new ArrayList<>();
            for (int call = 0; call < 2 * SLOTS; call++) {
                answers.add(handler.handle(call("call-" + call, "a")));
            }
            evacuated.set(true);
            int waiting = handler.waiting();
            handler.onTimer(ProcessClock.monotonicMillis());
            answers.add(handler.handle(call("late", "a")));
            int refused = 0;
            for (CompletableFuture<HttpAnswer> answer : answers) {
                HttpAnswer done = answer.get(WAIT_SECONDS, TimeUnit.SECONDS);
                if (done.status() == 503) {
                    assertThat(done.headers().get(MeshHeaders.OUTCOME))
                            .isEqualTo(MeshHeaders.NOT_RUN);
                    refused += "evacuated".equals(done.headers().get(MeshHeaders.REASON)) ? 1 : 0;
                }
            }

            assertThat(waiting).isGreaterThan(0);
            assertThat(refused).isAtLeast(waiting);
            assertThat(ran).doesNotContain("late");
            assertThat(handler.waiting()).isEqualTo(0);
            evacuated.set(false);
            assertThat(
                            handler.handle(call("after", "a"))
                                    .get(WAIT_SECONDS, TimeUnit.SECONDS)
                                    .status())
                    .isEqualTo(200);
        } finally {
            client.closeIdle();
            target.close();
            timer.shutdownNow();
            EventLoops.stop(eventLoops);
        }
    }

    private CompletableFuture<HttpAnswer> runAtTarget(HttpCall call) {
        String number = call.header("X-Number", "");
        assertThat(ran.add(number)).isTrue();
        maxRunning.accumulateAndGet(running.incrementAndGet(), Math::max);
        CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
        timer.schedule(
                () -> {
                    running.decrementAndGet();
                    answer.complete(HttpAnswer.of(200, "text/plain", number));
                },
                SERVICE_MILLIS,
                TimeUnit.MILLISECONDS);
        return answer;
    }

    private static HttpCall call(String number, String source) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set("X-Number", number);
        headers.set(MeshHeaders.CALLER, "@" + source);
        headers.set(MeshHeaders.REMAINING_MILLIS, 30_000);
        return new HttpCall("POST", "/", headers, new byte[0], "127.0.0.1");
    }

    private static Address freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new Address("127.0.0.1", socket.getLocalPort());
        }
    }
}
