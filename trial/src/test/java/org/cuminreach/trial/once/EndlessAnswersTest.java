package org.cuminreach.trial.once;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/** A client with the memory of a node beside a target whose answers do not end. */
class EndlessAnswersTest {
    private static final int CALLS_AT_ONCE = 30;
    private static final long DURATION_MILLIS = 8_000;
    private static final int BODY_BYTES_PER_SECOND = 1_500_000;
    private static final int WRITES_PER_SECOND = 50;
    private static final int FIRST_RELEASE_WITH_UNSAFE_OPTION = 23;
    private static final String HEAD = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n";

    /** Calls to the sound target, and connections that were lost although no target closed them. */
    private record Counts(int completed, int failed, int lostConnections) {}

    @Example
    void endlessBodiesAtOnceDoNotTakeTheMemoryOfOtherCalls() throws Exception {
        assertSoundCallsAreServedBeside(
                (head, body, socket) -> {
                    int length = BODY_BYTES_PER_SECOND / WRITES_PER_SECOND;
                    String chunk = Integer.toHexString(length) + "\r\n" + "x".repeat(length);
                    ScriptedTarget.write(socket, HEAD);
                    while (true) {
                        ScriptedTarget.write(socket, chunk + "\r\n");
                        TimeUnit.MILLISECONDS.sleep(1_000 / WRITES_PER_SECOND);
                    }
                });
    }

    @Example
    void endlessInformationalAnswersAtOnceDoNotOccupyTheEventLoop() throws Exception {
        byte[] answers =
                "HTTP/1.1 100 Continue\r\n\r\n".repeat(400).getBytes(StandardCharsets.US_ASCII);
        assertSoundCallsAreServedBeside(
                (head, body, socket) -> {
                    while (true) {
                        socket.getOutputStream().write(answers);
                    }
                });
    }

    private static void assertSoundCallsAreServedBeside(ScriptedTarget.Script endless)
            throws Exception {
        try (ScriptedTarget faulty = ScriptedTarget.start(endless);
                ScriptedTarget sound =
                        ScriptedTarget.start(
                                (head, body, socket) ->
                                        ScriptedTarget.writeAnswer(socket, 200, "whole"))) {
            Counts alone = run(faulty, sound, 0);
            Counts beside = run(faulty, sound, CALLS_AT_ONCE);

            assertWithMessage("failed, %s beside and %s alone", beside, alone)
                    .that(beside.failed() + beside.lostConnections())
                    .isEqualTo(0);
            assertWithMessage("calls completed, %s beside and %s alone", beside, alone)
                    .that(beside.completed())
                    .isAtLeast(alone.completed() / 4);
        }
    }

    private static Counts run(ScriptedTarget faulty, ScriptedTarget sound, int faultyCalls)
            throws Exception {
        Path output = Files.createTempFile("endless-answers", ".txt");
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        if (Runtime.version().feature() >= FIRST_RELEASE_WITH_UNSAFE_OPTION) {
            command.add("--sun-misc-unsafe-memory-access=allow");
        }
        command.addAll(
                List.of("-Xmx128m", "-XX:MaxDirectMemorySize=64m", "-XX:+UseSerialGC", "-cp"));
        command.add(System.getProperty("java.class.path"));
        command.add(EndlessAnswersProcess.class.getName());
        command.add(Integer.toString(faulty.address().port()));
        command.add(Integer.toString(sound.address().port()));
        command.add(Integer.toString(faultyCalls));
        command.add(Long.toString(DURATION_MILLIS));
        Process process =
                new ProcessBuilder(command)
                        .redirectOutput(output.toFile())
                        .redirectError(
                                output.resolveSibling(output.getFileName() + ".err").toFile())
                        .start();
        assertThat(process.waitFor(60, TimeUnit.SECONDS)).isTrue();
        List<String> lines = Files.readAllLines(output);
        assertThat(lines).isNotEmpty();
        String[] counts = lines.getLast().split(" ");
        return new Counts(
                Integer.parseInt(counts[0]),
                Integer.parseInt(counts[1]),
                Integer.parseInt(counts[2]));
    }
}
