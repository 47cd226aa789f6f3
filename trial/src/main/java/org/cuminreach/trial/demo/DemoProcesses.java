package org.cuminreach.trial.demo;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The processes that the demonstration started; it ends no others. */
final class DemoProcesses {
    private static final int STOP_SECONDS = 10;
    private static final int KIBIBYTE = 1024;

    private final Path home;
    private final Path folder;
    private final Map<String, Process> running = new LinkedHashMap<>();

    DemoProcesses(Path home, Path folder) {
        this.home = home;
        this.folder = folder;
    }

    void startBinary(String name, String binary, String command, Path settings) throws IOException {
        start(
                name,
                List.of(
                        home.resolve("bin").resolve(binary).toString(),
                        command,
                        "--settings",
                        settings.toString()));
    }

    void startStandIns(String name, Path settings) throws IOException {
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

    int await(String name) throws InterruptedException {
        return running.remove(name).waitFor();
    }

    void kill(String name) throws InterruptedException {
        Process process = running.remove(name);
        process.destroyForcibly();
        process.waitFor();
    }

    /** Returns the resident memory of the processes whose names start so, in bytes. */
    List<Long> residentBytes(List<String> names) throws IOException {
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

    void stopAll() throws InterruptedException {
        for (Process process : running.values()) {
            process.destroy();
        }
        for (Process process : running.values()) {
            if (!process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly();
                process.waitFor();
            }
        }
        running.clear();
    }

    Map<String, Process> running() {
        return running;
    }

    private void start(String name, List<String> command) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.redirectErrorStream(true);
        builder.redirectOutput(folder.resolve(name + ".log").toFile());
        running.put(name, builder.start());
    }
}
