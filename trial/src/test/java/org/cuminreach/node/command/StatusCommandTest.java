package org.cuminreach.node.command;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import joptsimple.OptionParser;
import net.jqwik.api.Example;
import org.cuminreach.runtime.launch.ExitCode;
import org.cuminreach.trial.mesh.FreeAddresses;
import org.cuminreach.trial.once.ScriptedTarget;

class StatusCommandTest {
    private static final String INVALID_STATUS =
            "HTTP/1.1 000 X\r\nContent-Length: 7\r\n\r\ntrouble";
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @Example
    void printsStatusOfNode() throws IOException {
        assertThat(run((head, body, socket) -> ScriptedTarget.writeAnswer(socket, 200, "status\n")))
                .isEqualTo(ExitCode.DONE);
        assertThat(out.toString(StandardCharsets.UTF_8)).isEqualTo("status\n");
    }

    @Example
    void answerWithInvalidStatusIsNotPrinted() throws IOException {
        assertIsNotPrinted((head, body, socket) -> ScriptedTarget.write(socket, INVALID_STATUS));
    }

    @Example
    void answerWithWhitespaceInFieldNameIsNotPrinted() throws IOException {
        assertIsNotPrinted(
                (head, body, socket) ->
                        ScriptedTarget.write(
                                socket, "HTTP/1.1 200 X\r\nContent-Length : 5\r\n\r\nbroken"));
    }

    private void assertIsNotPrinted(ScriptedTarget.Script faulty) throws IOException {
        assertThat(run(faulty)).isEqualTo(ExitCode.REFUSED);
        assertThat(out.toString(StandardCharsets.UTF_8)).isEmpty();
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("status: the node does not");
    }

    private int run(ScriptedTarget.Script script) throws IOException {
        try (ScriptedTarget node = ScriptedTarget.start(script)) {
            Path settings = Files.createTempFile("node", ".json");
            Files.writeString(
                    settings,
                    """
                    {"name": "node", "dataCentre": "here", "callerAddress": "%s",
                     "inboundAddress": "%s", "administrationAddress": "%s", "controls": ["%s"],
                     "target": {"service": "parts", "version": "1", "address": "%s", "slots": 1}}
                    """
                            .formatted(
                                    FreeAddresses.next(),
                                    FreeAddresses.next(),
                                    node.address(),
                                    FreeAddresses.next(),
                                    FreeAddresses.next()));
            StatusCommand command = new StatusCommand();
            OptionParser parser = new OptionParser();
            command.declareOptions(parser);
            return command.run(
                    parser.parse("--settings", settings.toString()),
                    new PrintStream(out, true),
                    new PrintStream(err, true));
        }
    }
}
