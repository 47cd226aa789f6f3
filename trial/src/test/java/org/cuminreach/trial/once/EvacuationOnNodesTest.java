package org.cuminreach.trial.once;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicBoolean;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.http.SendOutcome;
import org.cuminreach.settings.Address;

/** Evacuates data centres of a mesh under load: two nodes in each of "east" and "west". */
class EvacuationOnNodesTest {
    private static final List<String> DATA_CENTRES = List.of("east", "west", "east", "west");
    private static final int EAST_NODE = 0;
    private static final int CALLERS_OF_NODE = 24;
    private static final int TIMEOUT_MILLIS = 8_000;

    /**
     * Time after the acknowledgement from which no target there gets a call, by the users' rule.
     */
    private static final long EVACUATION_MILLIS = 5_000;

    /** Longer than a call waits, so that calls that waited at the start would show. */
    private static final long OBSERVED_MILLIS = 9_000;

    private static final long RUN_MILLIS = 150;

    private record Arrival(String dataCentre, long atMillis) {}

    private final List<ScriptedTarget> targets = new ArrayList<>();
    private final ConcurrentLinkedDeque<Arrival> arrivals = new ConcurrentLinkedDeque<>();
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
    void noTargetInEvacuatedDataCentreGetsCallsUnderLoad() throws Exception {
        start();
        AtomicBoolean stopping = new AtomicBoolean();
        List<Thread> callers = startCallers(stopping);
        Thread.sleep(1_000);
        assertThat(arrivalsAfter("east", 0)).isGreaterThan(0);

        assertThat(mesh.setEvacuation("east", true)).isEqualTo(200);
        long acknowledged = millis();
        assertThat(mesh.setEvacuation("east", true)).isEqualTo(200);
        Thread.sleep(OBSERVED_MILLIS);
        assertThat(arrivalsAfter("east", acknowledged + EVACUATION_MILLIS)).isEqualTo(0);
        assertThat(arrivalsAfter("west", acknowledged + EVACUATION_MILLIS)).isGreaterThan(0);

        assertThat(mesh.setEvacuation("east", false)).isEqualTo(200);
        long ended = millis();
        InProcessMesh.await(() -> arrivalsAfter("east", ended) > 0);
        stopping.set(true);
        for (Thread caller : callers) {
            caller.join();
        }
    }

    @Example
    void callersInEvacuatedDataCentreAreServedElsewhere() throws Exception {
        start();
        assertThat(mesh.setEvacuation("east", true)).isEqualTo(200);
        InProcessMesh.await(() -> isServedBy("west"));
        for (int call = 0; call < 20; call++) {
            assertThat(isServedBy("west")).isTrue();
        }
    }

    @Example
    void callIsRefusedAtOnceWhenEveryDataCentreIsEvacuated() throws Exception {
        start();
        assertThat(mesh.setEvacuation("east", true)).isEqualTo(200);
        assertThat(mesh.setEvacuation("west", true)).isEqualTo(200);
        InProcessMesh.await(() -> status(call(EAST_NODE)) == 503);
        arrivals.clear();

        SendOutcome.Completed refused = call(EAST_NODE);

        assertThat(refused.answer().status()).isEqualTo(503);
        assertThat(refused.answer().headers().get(MeshHeaders.OUTCOME))
                .isEqualTo(MeshHeaders.NOT_RUN);
        assertThat(refused.answer().headers().get(MeshHeaders.REASON)).isEqualTo("evacuated");
        assertThat(arrivals).isEmpty();
    }

    @Example
    void unknownDataCentreIsRefused() throws Exception {
        start();
        assertThat(mesh.setEvacuation("nowhere", true)).isEqualTo(422);
        assertThat(status(call(EAST_NODE))).isEqualTo(200);
    }

    private void start() throws Exception {
        for (String dataCentre : DATA_CENTRES) {
            targets.add(
                    ScriptedTarget.start(
                            (head, body, socket) -> {
                                arrivals.add(new Arrival(dataCentre, millis()));
                                sleep();
                                answer(socket, dataCentre);
                            }));
        }
        List<Address> addresses = targets.stream().map(ScriptedTarget::address).toList();
        mesh =
                InProcessMesh.start(
                        Files.createTempDirectory("evacuation"),
                        addresses,
                        DATA_CENTRES,
                        TIMEOUT_MILLIS);
    }

    private List<Thread> startCallers(AtomicBoolean stopping) {
        List<Thread> callers = new ArrayList<>();
        for (int caller = 0; caller < CALLERS_OF_NODE * DATA_CENTRES.size(); caller++) {
            int node = caller % DATA_CENTRES.size();
            callers.add(
                    Thread.startVirtualThread(
                            () -> {
                                while (!stopping.get()) {
                                    call(node);
                                }
                            }));
        }
        return callers;
    }

    private SendOutcome.Completed call(int node) {
        HttpHeaders headers = new DefaultHttpHeaders();
        return (SendOutcome.Completed) mesh.send(node, "GET", "/", headers, "").join();
    }

    private boolean isServedBy(String dataCentre) {
        SendOutcome.Completed sent = call(EAST_NODE);
        return status(sent) == 200
                && dataCentre.equals(sent.answer().headers().get("X-Data-Centre"));
    }

    private static int status(SendOutcome.Completed sent) {
        return sent.answer().status();
    }

    private int arrivalsAfter(String dataCentre, long millis) {
        return (int)
                arrivals.stream()
                        .filter(arrival -> arrival.dataCentre().equals(dataCentre))
                        .filter(arrival -> arrival.atMillis() > millis)
                        .count();
    }

    private static void sleep() {
        try {
            Thread.sleep(RUN_MILLIS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static void answer(Socket socket, String dataCentre) throws IOException {
        String answer =
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Data-Centre: "
                        + dataCentre
                        + "\r\n\r\nok";
        socket.getOutputStream().write(answer.getBytes());
        socket.getOutputStream().flush();
    }

    private static long millis() {
        return System.nanoTime() / 1_000_000;
    }
}
