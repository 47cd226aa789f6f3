package org.cuminreach.trial.balancing;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cuminreach.settings.Address;

/** One control, two nodes and a target, each a separate process; only these are ever stopped. */
final class LatencyMesh implements AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int STOP_TIMEOUT_SECONDS = 10;
    private static final int MAX_SUBMIT_ATTEMPTS = 40;
    private static final long SUBMIT_RETRY_DELAY_MILLIS = 500;
    private static final int CLOCK_TICKS_PER_SECOND = 100;
    private static final int USER_TICKS_FIELD = 11;

    private final Path projectFolder;
    private final Path folder;
    private final int firstPort;
    private final List<Process> processes = new ArrayList<>();
    private Process firstNode;
    private Process secondNode;

    private LatencyMesh(Path projectFolder, Path folder, int firstPort) {
        this.projectFolder = projectFolder;
        this.folder = folder;
        this.firstPort = firstPort;
    }

    static LatencyMesh start(Path projectFolder, int firstPort)
            throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("cuminreach-latency");
        LatencyMesh mesh = new LatencyMesh(projectFolder, folder, firstPort);
        Path control = mesh.write("control.json", mesh.controlText());
        mesh.launch("initialise", mesh.binary("cuminreach-control", "initialise", control))
                .waitFor();
        mesh.launch("control", mesh.binary("cuminreach-control", "serve", control));
        mesh.launch("target", mesh.standIn());
        Path first = mesh.write("node-1.json", mesh.nodeText("node-1", "front", 10));
        Path second = mesh.write("node-2.json", mesh.nodeText("node-2", "back", 20));
        mesh.firstNode = mesh.launch("node-1", mesh.binary("cuminreach-node", "serve", first));
        mesh.secondNode = mesh.launch("node-2", mesh.binary("cuminreach-node", "serve", second));
        mesh.submit();
        return mesh;
    }

    /** Returns the address of the first node for calls into the mesh. */
    Address callerAddress() {
        return address(10);
    }

    /** Returns the address of the target itself. */
    Address targetAddress() {
        return address(23);
    }

    /** Returns the CPU time used by both nodes, in seconds. */
    double nodeCpuSeconds() throws IOException {
        return cpuSeconds(firstNode) + cpuSeconds(secondNode);
    }

    /** Returns the number of voluntary context switches of all threads of both nodes. */
    long nodeContextSwitches() throws IOException {
        return contextSwitches(firstNode) + contextSwitches(secondNode);
    }

    /** Returns the resident memory of the first node, in KiB. */
    long firstNodeResidentKibibytes() throws IOException {
        Path status = Path.of("/proc", Long.toString(firstNode.pid()), "status");
        for (String line : Files.readAllLines(status)) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("\\D", ""));
            }
        }
        return 0;
    }

    @Override
    public void close() throws IOException {
        processes.forEach(Process::destroy);
        for (Process process : processes) {
            try {
                if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                    process.destroyForcibly();
                }
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                process.destroyForcibly();
            }
        }
    }

    private static double cpuSeconds(Process process) throws IOException {
        String stat = Files.readString(Path.of("/proc", Long.toString(process.pid()), "stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        long user = Long.parseLong(fields[USER_TICKS_FIELD]);
        long system = Long.parseLong(fields[USER_TICKS_FIELD + 1]);
        return (double) (user + system) / CLOCK_TICKS_PER_SECOND;
    }

    private static long contextSwitches(Process process) throws IOException {
        Path tasks = Path.of("/proc", Long.toString(process.pid()), "task");
        long switches = 0;
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(tasks)) {
            for (Path thread : threads) {
                switches += threadContextSwitches(thread.resolve("status"));
            }
        }
        return switches;
    }

    private static long threadContextSwitches(Path status) throws IOException {
        try {
            for (String line : Files.readAllLines(status)) {
                if (line.startsWith("voluntary_ctxt_switches:")) {
                    return Long.parseLong(line.replaceAll("\\D", ""));
                }
            }
        } catch (NoSuchFileException threadEnded) {
            return 0;
        }
        return 0;
    }

    private void submit() throws IOException, InterruptedException {
        Path document =
                write(
                        "document.json",
                        """
                        {"services": [{"name": "front", "version": "1"},
                                      {"name": "back", "version": "1"}],
                         "routes": [{"name": "back", "host": "back.example", "service": "back"}]}
                        """);
        List<String> command =
                List.of(
                        projectFolder.resolve("bin/cuminreach-control").toString(),
                        "submit",
                        "--controls",
                        address(2).toString(),
                        "--document",
                        document.toString(),
                        "--based-on",
                        "0",
                        "--key",
                        "latency",
                        "--wait",
                        "20");
        for (int attempt = 0; attempt < MAX_SUBMIT_ATTEMPTS; attempt++) {
            if (launch("submit", command).waitFor() == 0) {
                return;
            }
            Thread.sleep(SUBMIT_RETRY_DELAY_MILLIS);
        }
        close();
        throw new IOException(
                "document was not accepted in "
                        + MAX_SUBMIT_ATTEMPTS
                        + " attempts; see the logs in "
                        + folder);
    }

    private List<String> binary(String name, String command, Path settings) {
        return List.of(
                projectFolder.resolve("bin").resolve(name).toString(),
                command,
                "--settings",
                settings.toString());
    }

    private List<String> standIn() throws IOException {
        Path settings =
                write(
                        "target.json",
                        """
                        {"targets": [{"address": "%s", "service": "back", "version": "1",
                          "serviceMillis": 0}]}
                        """
                                .formatted(targetAddress()));
        return List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-Xmx128m",
                "--enable-native-access=ALL-UNNAMED",
                "-cp",
                System.getProperty("java.class.path"),
                "org.cuminreach.trial.standin.StandInMain",
                settings.toString());
    }

    private String controlText() {
        return """
        {"name": "control-1", "dataCentre": "here", "dataFolder": "%s",
         "replicaAddress": "%s", "nodeAddress": "%s", "operatorAddress": "%s",
         "administrationAddress": "%s",
         "controls": [{"name": "control-1", "replicaAddress": "%s"}]}
        """
                .formatted(
                        folder.resolve("data"),
                        address(0),
                        address(1),
                        address(2),
                        address(3),
                        address(0));
    }

    private String nodeText(String name, String service, int offset) {
        return """
        {"name": "%s", "dataCentre": "here", "callerAddress": "%s", "inboundAddress": "%s",
         "administrationAddress": "%s", "controls": ["%s"],
         "target": {"service": "%s", "version": "1", "address": "%s", "slots": 200},
         "stopMillis": 1000}
        """
                .formatted(
                        name,
                        address(offset),
                        address(offset + 1),
                        address(offset + 2),
                        address(1),
                        service,
                        address(offset + 3));
    }

    private Address address(int offset) {
        return new Address(LOOPBACK, firstPort + offset);
    }

    private Path write(String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name), text);
    }

    private Process launch(String name, List<String> command) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.redirectErrorStream(true);
        builder.redirectOutput(folder.resolve(name + ".log").toFile());
        Process process = builder.start();
        processes.add(process);
        return process;
    }
}
