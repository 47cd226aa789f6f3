package org.cuminreach.trial.mesh;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The processes that a trial started; no other process is stopped or killed. */
public final class MeshProcesses {
    private static final int STOP_TIMEOUT_SECONDS = 10;
    private static final int KIBIBYTE = 1024;

    private final Path projectFolder;
    private final Path logFolder;
    private final Map<String, Process> running = new LinkedHashMap<>();

    private MeshProcesses(Path projectFolder, Path logFolder) {
        this.projectFolder = projectFolder;
        this.logFolder = logFolder;
    }

    /**
     * Creates an empty set of processes.
     *
     * @param projectFolder folder of the project
     * @param logFolder folder of the logs
     * @return the processes
     */
    public static MeshProcesses create(Path projectFolder, Path logFolder) {
        return new MeshProcesses(projectFolder, logFolder);
    }

    /**
     * Starts a control or a node.
     *
     * @param name name of the process; its output is appended to {@code NAME.log}
     * @param binary name of the binary
     * @param command its command
     * @param settings its settings file
     * @throws IOException if it cannot be started
     */
    public void startBinary(String name, String binary, String command, Path settings)
            throws IOException {
        start(
                name,
                List.of(
                        projectFolder.resolve("bin").resolve(binary).toString(),
                        command,
                        "--settings",
                        settings.toString()));
    }

    /**
     * Starts stand-in targets.
     *
     * @param name name of the process
     * @param settings settings file with their behaviours
     * @throws IOException if they cannot be started
     */
    public void startStandIns(String name, Path settings) throws IOException {
        start(
                name,
                List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-Xmx128m",
                        "--enable-native-access=ALL-UNNAMED",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "org.cuminreach.trial.standin.StandInMain",
                        settings.toString()));
    }

    /**
     * Waits until a process exits.
     *
     * @param name its name
     * @return its exit code
     * @throws InterruptedException if interrupted while waiting
     */
    public int awaitExit(String name) throws InterruptedException {
        return running.remove(name).waitFor();
    }

    /**
     * Kills a process (SIGKILL).
     *
     * @param name its name
     * @throws InterruptedException if interrupted while waiting
     */
    public void kill(String name) throws InterruptedException {
        Process process = running.remove(name);
        process.destroyForcibly();
        process.waitFor();
    }

    /**
     * Tells whether a process was started and neither awaited nor killed.
     *
     * @param name its name
     * @return true if it is expected to run
     */
    public boolean isRunning(String name) {
        return running.containsKey(name);
    }

    /**
     * Returns the resident memory of processes.
     *
     * @param names their names
     * @return bytes of each running process
     * @throws IOException if the process status cannot be read
     */
    public List<Long> residentBytes(List<String> names) throws IOException {
        List<Long> bytes = new ArrayList<>();
        for (String name : names) {
            Path status = Path.of("/proc", Long.toString(running.get(name).pid()), "status");
            if (!Files.exists(status)) {
                continue;
            }
            for (String line : Files.readAllLines(status)) {
                if (line.startsWith("VmRSS:")) {
                    String digits = line.replaceAll("\\D", "");
                    bytes.add(Long.parseLong(digits) * KIBIBYTE);
                }
            }
        }
        return bytes;
    }

    /**
     * Stops every process gracefully (SIGTERM), and kills those that do not exit in time.
     *
     * @throws InterruptedException if interrupted while waiting
     */
    public void stopAll() throws InterruptedException {
        running.values().forEach(Process::destroy);
        for (Process process : running.values()) {
            if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly();
                process.waitFor();
            }
        }
        running.clear();
    }

    private void start(String name, List<String> command) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(logFolder.resolve(name + ".log").toFile()));
        running.put(name, builder.start());
    }
}
