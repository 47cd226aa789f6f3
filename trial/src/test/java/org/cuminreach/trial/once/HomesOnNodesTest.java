package org.cuminreach.trial.once;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.http.SendOutcome;
import org.cuminreach.settings.Address;

/** Sends calls of a route with homes through nodes in and outside of its home regions. */
class HomesOnNodesTest {
    private static final List<String> DATA_CENTRES = List.of("east", "far", "east", "far");
    private static final Map<String, String> REGIONS = Map.of("east", "north", "far", "south");
    private static final int CALLS = 40;
    private static final int TIMEOUT_MILLIS = 2_000;

    /** Time after which a node answers for the keys that it is the home of. */
    private static final long KEY_HOME_SETTLING_MILLIS = 12_000;

    private final List<ScriptedTarget> targets = new ArrayList<>();
    private final Set<String> reached = ConcurrentHashMap.newKeySet();
    private InProcessMesh mesh;

    @AfterTry
    void stop() throws Exception {
        if (mesh != null) {
            mesh.close();
        }
        for (ScriptedTarget target : targets) {
            target.close();
        }
    }

    @Example
    void callsReachTargetsInTheirHomesOnly() throws Exception {
        start(List.of("south"));
        for (int call = 0; call < CALLS; call++) {
            SendOutcome.Completed sent = call(call % DATA_CENTRES.size(), "GET", "");
            assertThat(sent.answer().status()).isEqualTo(200);
        }
        assertThat(reached).containsExactly("far");
    }

    @Example
    void callsWithIdempotencyKeysStayInTheirHomes() throws Exception {
        start(List.of("south"));
        Thread.sleep(KEY_HOME_SETTLING_MILLIS);
        Random random = new Random(3);
        for (int call = 0; call < CALLS; call++) {
            String key = InProcessMesh.timedKey(System.currentTimeMillis(), random);
            SendOutcome.Completed sent = call(call % DATA_CENTRES.size(), "POST", key);
            assertThat(sent.answer().status()).isEqualTo(200);
            assertThat(sent.answer().headers().get("X-Data-Centre")).isEqualTo("far");
        }
        assertThat(reached).containsExactly("far");
    }

    @Example
    void callIsRefusedAtOnceWithoutTargetInItsHomes() throws Exception {
        start(List.of("west"));

        SendOutcome.Completed sent = call(0, "POST", "");

        assertThat(sent.answer().status()).isEqualTo(503);
        assertThat(sent.answer().headers().get(MeshHeaders.OUTCOME)).isEqualTo(MeshHeaders.NOT_RUN);
        assertThat(sent.answer().headers().get(MeshHeaders.REASON)).isEqualTo("outside_homes");
        assertThat(reached).isEmpty();
    }

    private void start(List<String> homes) throws Exception {
        for (String dataCentre : DATA_CENTRES) {
            targets.add(
                    ScriptedTarget.start(
                            (head, body, socket) -> {
                                reached.add(dataCentre);
                                answer(socket, dataCentre);
                            }));
        }
        List<Address> addresses = targets.stream().map(ScriptedTarget::address).toList();
        mesh =
                InProcessMesh.start(
                        Files.createTempDirectory("homes"),
                        addresses,
                        new InProcessMesh.Layout(DATA_CENTRES, REGIONS, homes),
                        TIMEOUT_MILLIS);
    }

    private SendOutcome.Completed call(int node, String method, String key) {
        HttpHeaders headers = new DefaultHttpHeaders();
        if (!key.isEmpty()) {
            headers.set(MeshHeaders.IDEMPOTENCY_KEY, key);
        }
        return (SendOutcome.Completed) mesh.send(node, method, "/", headers, "").join();
    }

    private static void answer(Socket socket, String dataCentre) throws IOException {
        String answer =
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Data-Centre: "
                        + dataCentre
                        + "\r\n\r\nok";
        socket.getOutputStream().write(answer.getBytes());
        socket.getOutputStream().flush();
    }
}
