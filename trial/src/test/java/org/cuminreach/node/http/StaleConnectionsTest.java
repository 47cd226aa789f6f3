package org.cuminreach.node.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import net.jqwik.api.Example;
import org.cuminreach.runtime.EventLoops;
import org.cuminreach.runtime.http.HttpCall;
import org.cuminreach.trial.once.ScriptedTarget;

/**
 * Guards against calls that time out one after another on pooled connections that no longer carry
 * any bytes, as after a network failure: the first time-out must retire the others.
 */
class StaleConnectionsTest {
    private static final int CONNECTIONS = 6;
    private static final long TIMEOUT_MILLIS = 1_500;

    @Example
    void onlyOneCallTimesOutWhenEveryPooledConnectionIsStale() throws Exception {
        Set<Socket> stale = ConcurrentHashMap.newKeySet();
        Set<Socket> answered = ConcurrentHashMap.newKeySet();
        CountDownLatch allConnected = new CountDownLatch(CONNECTIONS);
        EventLoopGroup eventLoops = EventLoops.start(1);
        try (ScriptedTarget target =
                        ScriptedTarget.start(
                                (head, body, socket) -> {
                                    if (stale.contains(socket)) {
                                        return;
                                    }
                                    if (answered.add(socket)) {
                                        allConnected.countDown();
                                    }
                                    allConnected.await();
                                    ScriptedTarget.writeAnswer(socket, 200, "complete");
                                });
                HttpSender sender = HttpSender.create(eventLoops)) {
            List<CompletableFuture<SendOutcome>> warmUp = new ArrayList<>();
            for (int call = 0; call < CONNECTIONS; call++) {
                warmUp.add(send(sender, target, 60_000));
            }
            warmUp.forEach(CompletableFuture::join);
            stale.addAll(answered);
            int timedOut = 0;
            for (int call = 0; call < CONNECTIONS; call++) {
                if (send(sender, target, TIMEOUT_MILLIS).join() instanceof SendOutcome.Lost) {
                    timedOut++;
                }
            }
            assertThat(target.acceptedConnections()).isGreaterThan(CONNECTIONS);
            assertThat(timedOut).isEqualTo(1);
        } finally {
            EventLoops.stop(eventLoops);
        }
    }

    private static CompletableFuture<SendOutcome> send(
            HttpSender sender, ScriptedTarget target, long timeoutMillis) {
        HttpHeaders headers = new DefaultHttpHeaders().set("Host", "parts.test");
        HttpCall call = new HttpCall("GET", "/stock", headers, new byte[0], "127.0.0.1");
        return sender.send(target.address(), call, headers, timeoutMillis);
    }
}
