package org.cuminreach.trial.distribution;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.stream.Collectors;
import org.cuminreach.settings.Address;
import org.cuminreach.trial.mesh.FreeAddresses;

/** Starts, kills and measures control processes. */
final class ControlFleet implements AutoCloseable {
    private static final long MILLIS_PER_CLOCK_TICK = 10;
    private static final int KIBIBYTE = 1_024;
    private static final int USER_TICKS_FIELD = 11;
    private static final int SYSTEM_TICKS_FIELD = 12;
    private static final long POLL_INTERVAL_MILLIS = 100;

    /** Addresses and settings file of one control. */
    private record ControlEndpoints(String name, Address node, Address operator, Path settings) {}

    private final Path projectFolder;
    private final Path folder;
    private final List<ControlEndpoints> controls = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();
    private final HttpClient http = HttpClient.newHttpClient();

    private ControlFleet(Path projectFolder, Path folder) {
        this.projectFolder = projectFolder;
        this.folder = folder;
    }

    static ControlFleet prepare(Path projectFolder, int count)
            throws IOException, InterruptedException {
        ControlFleet fleet =
                new ControlFleet(projectFolder, Files.createTempDirectory("convergence"));
        fleet.writeSettings(count);
        for (ControlEndpoints control : fleet.controls) {
            fleet.run("initialise", control).waitFor();
        }
        return fleet;
    }

    List<Address> nodeAddresses() {
        return controls.stream().map(ControlEndpoints::node).toList();
    }

    void start() throws IOException, InterruptedException {
        for (ControlEndpoints control : controls) {
            processes.add(run("serve", control));
        }
        while (!get("/status").contains("\"hasQuorum\" : true")) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    /** Kills all controls at the same time with SIGKILL. */
    void killAll() throws InterruptedException {
        processes.forEach(Process::destroyForcibly);
        for (Process process : processes) {
            process.waitFor();
        }
        processes.clear();
    }

    /** Submits the document until it is accepted, with one idempotency key; returns the version. */
    long submit(long basedOn, String document) throws IOException, InterruptedException {
        String key = UUID.randomUUID().toString();
        while (true) {
            HttpRequest request =
                    HttpRequest.newBuilder(uri(0, "/documents?basedOn=" + basedOn))
                            .header("Idempotency-Key", key)
                            .POST(HttpRequest.BodyPublishers.ofString(document))
                            .build();
            String body = send(request);
            if (body.contains("\"accepted\"")) {
                return Long.parseLong(body.replaceAll("(?s).*\"version\" : (\\d+).*", "$1"));
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    /** Returns the CPU time of each control since its start, in milliseconds. */
    List<Long> cpuMillis() throws IOException {
        List<Long> millis = new ArrayList<>();
        for (Process process : processes) {
            String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            long ticks =
                    Long.parseLong(fields[USER_TICKS_FIELD])
                            + Long.parseLong(fields[SYSTEM_TICKS_FIELD]);
            millis.add(ticks * MILLIS_PER_CLOCK_TICK);
        }
        return millis;
    }

    /** Returns the largest resident memory of any control, in bytes. */
    long maxResidentBytes() throws IOException {
        long maxBytes = 0;
        for (Process process : processes) {
            for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                if (line.startsWith("VmRSS:")) {
                    maxBytes =
                            Math.max(
                                    maxBytes,
                                    Long.parseLong(line.replaceAll("\\D", "")) * KIBIBYTE);
                }
            }
        }
        return maxBytes;
    }

    String get(String path) throws InterruptedException {
        return send(HttpRequest.newBuilder(uri(0, path)).build());
    }

    @Override
    public void close() {
        processes.forEach(Process::destroyForcibly);
    }

    private void writeSettings(int count) throws IOException {
        List<Address> replicas = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            replicas.add(FreeAddresses.next());
        }
        for (int index = 0; index < count; index++) {
            controls.add(writeSettings(index, replicas));
        }
    }

    private ControlEndpoints writeSettings(int index, List<Address> replicas) throws IOException {
        String name = "control-" + index;
        String peers =
                replicas.stream()
                        .map(
                                replica ->
                                        "{\"name\": \"control-%d\", \"replicaAddress\": \"%s\"}"
                                                .formatted(replicas.indexOf(replica), replica))
                        .collect(Collectors.joining(", "));
        Address node = FreeAddresses.next();
        Address operator = FreeAddresses.next();
        String text =
                """
                {"name": "%s", "dataCentre": "dc", "dataFolder": "%s", "replicaAddress": "%s",
                 "nodeAddress": "%s", "operatorAddress": "%s", "administrationAddress": "%s",
                 "controls": [%s]}
                """
                        .formatted(
                                name,
                                folder.resolve(name),
                                replicas.get(index),
                                node,
                                operator,
                                FreeAddresses.next(),
                                peers);
        Path file = Files.writeString(folder.resolve(name + ".json"), text);
        return new ControlEndpoints(name, node, operator, file);
    }

    private Process run(String command, ControlEndpoints control) throws IOException {
        ProcessBuilder builder =
                new ProcessBuilder(
                        projectFolder.resolve("bin/cuminreach-control").toString(),
                        command,
                        "--settings",
                        control.settings().toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(control.name() + ".log").toFile()));
        return builder.start();
    }

    private URI uri(int index, String path) {
        return URI.create("http://" + controls.get(index).operator() + path);
    }

    private String send(HttpRequest request) throws InterruptedException {
        try {
            return http.send(request, HttpResponse.BodyHandlers.ofString()).body();
        } catch (IOException unreachable) {
            return "";
        }
    }
}
