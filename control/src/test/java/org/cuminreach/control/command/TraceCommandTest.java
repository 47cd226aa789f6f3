package org.cuminreach.control.command;

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

class TraceCommandTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int run(String request, Path... logs) {
        TraceCommand command = new TraceCommand();
        OptionParser parser = new OptionParser();
        command.declareOptions(parser);
        String[] arguments = new String[2 + 2 * logs.length];
        arguments[0] = "--request";
        arguments[1] = request;
        for (int log = 0; log < logs.length; log++) {
            arguments[2 + 2 * log] = "--log";
            arguments[3 + 2 * log] = logs[log].toString();
        }
        return command.run(
                parser.parse(arguments), new PrintStream(out, true), new PrintStream(err, true));
    }

    @Example
    void printsLinesOfOneRequestInTimeOrderAcrossFiles() throws IOException {
        Path first = Files.createTempFile("node-1", ".log");
        Path second = Files.createTempFile("node-2", ".log");
        Files.writeString(
                first,
                """
                2026-12-04T10:00:00.300Z INFO  CallerHandler event=call_given_up request=ab
                2026-12-04T10:00:00.100Z INFO  CallerHandler event=call_routed request=ab node=b
                2026-12-04T10:00:00.100Z INFO  CallerHandler event=call_routed request=abc node=x
                """);
        Files.writeString(
                second,
                """
                2026-12-04T10:00:00.200Z INFO  TargetAdmissionHandler event=call_refused request=ab
                """);

        assertThat(run("ab", first, second)).isEqualTo(ExitCode.DONE);
        String printed = out.toString(StandardCharsets.UTF_8);
        assertThat(printed.lines().count()).isEqualTo(3);
        assertThat(printed.indexOf("call_routed")).isLessThan(printed.indexOf("call_refused"));
        assertThat(printed.indexOf("call_refused")).isLessThan(printed.indexOf("call_given_up"));
    }

    @Example
    void findsRequestThatIsNotTheFirstOfItsLine() throws IOException {
        Path log = Files.createTempFile("node", ".log");
        Files.writeString(
                log,
                """
                2026-12-04T10:00:00.100Z INFO  X event=call_joined request=abc first_request=ab
                2026-12-04T10:00:00.200Z INFO  X event=call_joined request=abc request=ab node=b
                2026-12-04T10:00:00.300Z INFO  X event=call_joined request=abc request=abd
                """);

        assertThat(run("ab", log)).isEqualTo(ExitCode.DONE);
        assertThat(out.toString(StandardCharsets.UTF_8).lines().count()).isEqualTo(1);
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("10:00:00.200Z");
    }

    @Example
    void reportsUnknownRequestAndUnreadableFile() throws IOException {
        Path empty = Files.createTempFile("node", ".log");

        assertThat(run("ab", empty)).isEqualTo(ExitCode.UNKNOWN);
        assertThat(run("ab", Path.of("absent.log"))).isEqualTo(ExitCode.REFUSED);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("absent.log");
    }
}
