package org.cuminreach.trial.once;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.cuminreach.control.ControlProcess;
import org.cuminreach.control.ControlSettings;
import org.cuminreach.control.storage.DataFolder;
import org.cuminreach.decisions.admission.LinkRate;
import org.cuminreach.decisions.agreement.DurableState;
import org.cuminreach.decisions.agreement.Member;
import org.cuminreach.decisions.agreement.Membership;
import org.cuminreach.decisions.configuration.MeshStateImage;
import org.cuminreach.node.NodeProcess;
import org.cuminreach.node.http.HttpSender;
import org.cuminreach.node.http.SendOutcome;
import org.cuminreach.node.settings.NodeSettings;
import org.cuminreach.runtime.EventLoops;
import org.cuminreach.runtime.http.HttpCall;
import org.cuminreach.runtime.log.LogFormat;
import org.cuminreach.runtime.log.LogLevel;
import org.cuminreach.runtime.log.LogSettings;
import org.cuminreach.settings.Address;
import org.cuminreach.settings.MeshBounds;
import org.cuminreach.trial.mesh.FreeAddresses;
import org.cuminreach.wire.ConfigurationCodec;

/** A mesh in this process with one service, one control and a node next to each given target. */
public final class InProcessMesh implements AutoCloseable {
    /** Value of the Host header of the service's route. */
    public static final String HOST = "parts.test";

    private static final String SERVICE = "parts";
    private static final String DATA_CENTRE = "here";
    private static final String VERSION = "1";
    private static final int SLOTS = 16;
    private static final long SHUTDOWN_DELAY_MILLIS = 500;
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 10_000;
    private static final long MAX_WAIT_MILLIS = 60_000;
    private static final long POLL_MILLIS = 20;
    private static final LogSettings LOG_SETTINGS = LogSettings.of(LogLevel.WARN, LogFormat.TEXT);

    /**
     * Where the targets of a mesh are, and where its calls may go.
     *
     * @param dataCentres data centre of each target and of the node next to it
     * @param regions region of each data centre; empty when the settings list none
     * @param homes home regions of the route; empty when it has none
     */
    public record Layout(
            List<String> dataCentres, Map<String, String> regions, List<String> homes) {
        /**
         * Returns a layout without regions.
         *
         * @param dataCentres data centre of each target
         * @return the layout
         */
        public static Layout of(List<String> dataCentres) {
            return new Layout(dataCentres, Map.of(), List.of());
        }

        private MeshBounds bounds() {
            MeshBounds defaults = MeshBounds.defaults();
            return new MeshBounds(
                    regions,
                    defaults.revocationMillis(),
                    defaults.toleratedControlLosses(),
                    defaults.quota(),
                    defaults.cold());
        }

        private String homesField() {
            return homes.isEmpty()
                    ? ""
                    : ", \"homeRegions\": [\"" + String.join("\", \"", homes) + "\"]";
        }
    }

    private final ControlSettings controlSettings;
    private final Layout layout;
    private final List<NodeSettings> settings = new ArrayList<>();
    private final List<NodeProcess> nodes = new ArrayList<>();
    private final EventLoopGroup eventLoops = EventLoops.start(1);
    private final HttpSender sender = HttpSender.create(eventLoops);

    private ControlProcess control;

    private InProcessMesh(ControlSettings controlSettings, Layout layout) throws IOException {
        this.controlSettings = controlSettings;
        this.layout = layout;
        control = ControlProcess.start(controlSettings);
    }

    /**
     * Starts a mesh and waits until every node has a configuration and every target is ready on it.
     *
     * @param folder an empty folder for the control
     * @param targets addresses of the targets
     * @param timeoutMillis timeout of the route
     * @return the running mesh
     * @throws IOException if the folder cannot be used
     * @throws InterruptedException if interrupted while waiting
     */
    public static InProcessMesh start(Path folder, List<Address> targets, int timeoutMillis)
            throws IOException, InterruptedException {
        List<String> dataCentres = Collections.nCopies(targets.size(), DATA_CENTRE);
        return start(folder, targets, Layout.of(dataCentres), timeoutMillis);
    }

    /**
     * Starts a mesh in several data centres and waits until every node has a configuration and
     * every target is ready on it.
     *
     * @param folder an empty folder for the control
     * @param targets addresses of the targets
     * @param layout its data centres
     * @param timeoutMillis timeout of the route
     * @return the running mesh
     * @throws IOException if the folder cannot be used
     * @throws InterruptedException if interrupted while waiting
     */
    public static InProcessMesh start(
            Path folder, List<Address> targets, Layout layout, int timeoutMillis)
            throws IOException, InterruptedException {
        ControlSettings settings = controlSettings(folder);
        initialise(settings);
        InProcessMesh mesh = new InProcessMesh(settings, layout);
        mesh.submit(settings.operatorAddress(), timeoutMillis);
        for (int target = 0; target < targets.size(); target++) {
            mesh.startNode(targets.get(target), layout.dataCentres().get(target));
        }
        for (int node = 0; node < targets.size(); node++) {
            mesh.awaitRoutes(node);
        }
        return mesh;
    }

    /**
     * Starts one more node.
     *
     * @param target address of its target
     * @throws IOException if there is no free port
     */
    public void startNode(Address target) throws IOException {
        startNode(target, DATA_CENTRE);
    }

    private void startNode(Address target, String dataCentre) throws IOException {
        NodeSettings nodeSettings =
                new NodeSettings(
                        "node-" + settings.size(),
                        dataCentre,
                        FreeAddresses.next(),
                        FreeAddresses.next(),
                        FreeAddresses.next(),
                        List.of(controlSettings.nodeAddress()),
                        Optional.of(new NodeSettings.Target(SERVICE, VERSION, target, SLOTS)),
                        false,
                        LinkRate.unknown(),
                        SHUTDOWN_DELAY_MILLIS,
                        SHUTDOWN_TIMEOUT_MILLIS,
                        layout.bounds(),
                        LOG_SETTINGS);
        settings.add(nodeSettings);
        nodes.add(NodeProcess.start(nodeSettings));
    }

    /**
     * Stops a node gracefully.
     *
     * @param node its number, from 0
     * @throws InterruptedException if interrupted while waiting
     */
    public void stopNode(int node) throws InterruptedException {
        nodes.get(node).stop();
    }

    /**
     * Restarts a stopped node without its in-memory state.
     *
     * @param node its number, from 0
     */
    public void restartNode(int node) {
        nodes.set(node, NodeProcess.start(settings.get(node)));
    }

    /**
     * Stops the control and starts it again on the same folder.
     *
     * @throws IOException if its folder or addresses cannot be used
     * @throws InterruptedException if interrupted while waiting
     */
    public void restartControl() throws IOException, InterruptedException {
        control.stop();
        control = ControlProcess.start(controlSettings);
    }

    /**
     * Starts or ends the evacuation of a data centre.
     *
     * @param dataCentre name of the data centre
     * @param evacuate true to start, false to end
     * @return HTTP status of the answer of the control, 0 without one
     */
    public int setEvacuation(String dataCentre, boolean evacuate) {
        String uri = "/evacuations?" + (evacuate ? "start=" : "end=") + dataCentre;
        HttpHeaders headers = new DefaultHttpHeaders().set("Host", HOST);
        HttpCall call = new HttpCall("POST", uri, headers, new byte[0], "127.0.0.1");
        SendOutcome sent =
                sender.send(controlSettings.operatorAddress(), call, headers, MAX_WAIT_MILLIS)
                        .join();
        return sent instanceof SendOutcome.Completed completed ? completed.answer().status() : 0;
    }

    /**
     * Returns the settings of a node.
     *
     * @param node its number, from 0
     * @return the settings
     */
    public NodeSettings settings(int node) {
        return settings.get(node);
    }

    /**
     * Sends a call through a node.
     *
     * @param node number of the node, from 0
     * @param method HTTP method
     * @param path path of the call
     * @param headers headers besides Host
     * @param body the body
     * @return completes with the outcome that the caller sees
     */
    public CompletableFuture<SendOutcome> send(
            int node, String method, String path, HttpHeaders headers, String body) {
        HttpHeaders sent = headers.copy().set("Host", HOST);
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        HttpCall call = new HttpCall(method, path, sent, bytes, "127.0.0.1");
        return sender.send(settings.get(node).callerAddress(), call, sent, MAX_WAIT_MILLIS);
    }

    /**
     * Sends a call through a node that this mesh did not start.
     *
     * @param callerAddress address on which the node takes calls
     * @param method HTTP method
     * @param body its body
     * @param headers headers besides Host
     * @return completes with the outcome that the caller sees
     */
    public CompletableFuture<SendOutcome> sendTo(
            Address callerAddress, String method, byte[] body, HttpHeaders headers) {
        HttpHeaders sent = headers.copy().set("Host", HOST);
        HttpCall call = new HttpCall(method, "/", sent, body, "127.0.0.1");
        return sender.send(callerAddress, call, sent, MAX_WAIT_MILLIS);
    }

    /**
     * Creates an idempotency key that contains its creation time.
     *
     * @param millis the time, in milliseconds since the epoch
     * @param random source of the random bits
     * @return a UUID of version 7
     */
    public static String timedKey(long millis, Random random) {
        long mostSignificantBits = (millis << 16) | 0x7000 | random.nextInt(0x1000);
        long leastSignificantBits = (random.nextLong() >>> 2) | (1L << 63);
        return new UUID(mostSignificantBits, leastSignificantBits).toString();
    }

    /**
     * Waits for a condition.
     *
     * @param condition the condition
     * @throws InterruptedException if interrupted while waiting
     * @throws IllegalStateException if it does not hold within a minute
     */
    public static void await(BooleanSupplier condition) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + MAX_WAIT_MILLIS * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IllegalStateException(
                        "the condition did not hold within " + MAX_WAIT_MILLIS + " ms");
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    @Override
    public void close() throws IOException, InterruptedException {
        for (NodeProcess node : nodes) {
            node.stop();
        }
        control.stop();
        sender.close();
        EventLoops.stop(eventLoops);
    }

    private void awaitRoutes(int node) throws InterruptedException {
        Address administration = settings.get(node).administrationAddress();
        String allTargets = "\"readyTargets\": " + settings.size();
        try {
            await(
                    () -> {
                        String status = text(administration, "/status");
                        return status.contains(allTargets)
                                && !status.contains("\"configuration\": 0");
                    });
        } catch (IllegalStateException timeout) {
            throw new IllegalStateException(text(administration, "/status"), timeout);
        }
    }

    private String text(Address address, String path) {
        HttpHeaders headers = new DefaultHttpHeaders().set("Host", HOST);
        HttpCall call = new HttpCall("GET", path, headers, new byte[0], "127.0.0.1");
        SendOutcome sent = sender.send(address, call, headers, MAX_WAIT_MILLIS).join();
        return sent instanceof SendOutcome.Completed completed
                ? new String(completed.answer().body(), StandardCharsets.UTF_8)
                : "";
    }

    private void submit(Address operator, int timeoutMillis) throws InterruptedException {
        String document =
                """
                {"services": [{"name": "%s", "version": "%s"}],
                 "routes": [{"name": "%s", "host": "%s", "service": "%s", "timeoutMillis": %d%s}]}
                """
                        .formatted(
                                SERVICE,
                                VERSION,
                                SERVICE,
                                HOST,
                                SERVICE,
                                timeoutMillis,
                                layout.homesField());
        HttpHeaders headers = new DefaultHttpHeaders().set("Idempotency-Key", "first");
        HttpCall call =
                new HttpCall(
                        "POST",
                        "/documents?basedOn=0",
                        headers,
                        document.getBytes(StandardCharsets.UTF_8),
                        "127.0.0.1");
        await(
                () ->
                        sender.send(operator, call, headers, MAX_WAIT_MILLIS).join()
                                        instanceof SendOutcome.Completed completed
                                && completed.answer().status() == 200);
    }

    private static ControlSettings controlSettings(Path folder) throws IOException {
        Address replica = FreeAddresses.next();
        return new ControlSettings(
                "control",
                DATA_CENTRE,
                folder.resolve("control"),
                replica,
                FreeAddresses.next(),
                FreeAddresses.next(),
                FreeAddresses.next(),
                List.of(new ControlSettings.Peer("control", replica)),
                false,
                MeshBounds.defaults(),
                LOG_SETTINGS);
    }

    private static void initialise(ControlSettings settings) throws IOException {
        try (DataFolder folder = DataFolder.open(settings.dataFolder())) {
            Member member = new Member(settings.name(), settings.replicaAddress(), true);
            byte[] state = ConfigurationCodec.encode(MeshStateImage.empty());
            DurableState first = DurableState.initial(new Membership(List.of(member)), state);
            folder.saveSnapshot(first.snapshot().orElseThrow(), false);
            folder.saveIdentity(settings.name());
        }
    }
}
