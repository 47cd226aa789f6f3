package org.cuminreach.trial.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.cuminreach.node.command.NodeMain;
import org.cuminreach.node.settings.NodeSettings;
import org.cuminreach.settings.Address;
import org.cuminreach.trial.mesh.FreeAddresses;

/** A node process, which is stopped, killed, frozen and started again by signals. */
final class SoakNode implements AutoCloseable {
    private static final int STOP_TIMEOUT_SECONDS = 15;

    /** Rate of a link on which the bodies of a soak are long. */
    private static final long LINK_KILOBITS_PER_SECOND = 2_310;

    private final String name;
    private final Address callerAddress;
    private final Path settings;
    private final Path log;
    private Process process;

    private SoakNode(String name, Address callerAddress, Path settings, Path log) {
        this.name = name;
        this.callerAddress = callerAddress;
        this.settings = settings;
        this.log = log;
    }

    /** Writes the settings of a node beside a target and starts its process. */
    static SoakNode start(Path folder, String name, String host, NodeSettings known, Address target)
            throws IOException {
        Address caller = new Address(host, FreeAddresses.next().port());
        String text =
                """
                {"name": "%s", "dataCentre": "here", "callerAddress": "%s",
                 "inboundAddress": "%s", "administrationAddress": "%s", "controls": ["%s"],
                 "leaveMillis": 500, "stopMillis": 5000, "linkKilobitsPerSecond": %d,
                 "target": {"service": "%s", "version": "%s", "address": "%s", "slots": 9}}
                """
                        .formatted(
                                name,
                                caller,
                                new Address(host, FreeAddresses.next().port()),
                                FreeAddresses.next(),
                                known.controls().getFirst(),
                                LINK_KILOBITS_PER_SECOND,
                                known.target().orElseThrow().service(),
                                known.target().orElseThrow().version(),
                                target);
        Path settings = Files.writeString(folder.resolve(name + ".json"), text);
        SoakNode node = new SoakNode(name, caller, settings, folder.resolve(name + ".log"));
        node.startProcess();
        return node;
    }

    String name() {
        return name;
    }

    Address callerAddress() {
        return callerAddress;
    }

    synchronized void startProcess() throws IOException {
        process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Xmx96m",
                                "-XX:+UseSerialGC",
                                "-XX:TieredStopAtLevel=1",
                                "-cp",
                                System.getProperty("java.class.path"),
                                NodeMain.class.getName(),
                                "serve",
                                "--settings",
                                settings.toString())
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                        .start();
    }

    /** Stops the process (SIGTERM) and waits for its end. */
    synchronized void terminate() throws InterruptedException {
        process.destroy();
        if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            kill();
        }
    }

    /** Kills the process (SIGKILL) and waits for its end. */
    synchronized void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor();
    }

    /** Freezes the process (SIGSTOP) for a time. */
    synchronized void freeze(long millis) throws IOException, InterruptedException {
        signal("STOP");
        Thread.sleep(millis);
        signal("CONT");
    }

    private void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    @Override
    public void close() throws InterruptedException {
        kill();
    }
}
