package org.cuminreach.runtime.launch;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import net.jqwik.api.Example;

class LauncherTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @Example
    void helpAndVersionGoToStandardOutput() {
        assertThat(run("--help")).isEqualTo(ExitCode.DONE);
        assertThat(run("--version")).isEqualTo(ExitCode.DONE);
        assertThat(run("echo", "--help")).isEqualTo(ExitCode.DONE);
        assertThat(text(out)).contains("binary " + Launcher.VERSION);
        assertThat(text(err)).isEmpty();
    }

    @Example
    void wrongCommandLinesGoToStandardErrorWithCode2() {
        assertThat(run()).isEqualTo(ExitCode.USAGE);
        assertThat(run("sing")).isEqualTo(ExitCode.USAGE);
        assertThat(run("echo", "--loud")).isEqualTo(ExitCode.USAGE);
        assertThat(run("echo", "--word", "a", "b")).isEqualTo(ExitCode.USAGE);
        assertThat(text(out)).isEmpty();
        assertThat(text(err)).contains("unknown command \"sing\"");
    }

    @Example
    void commandGetsItsOptions() {
        assertThat(run("echo", "--word", "saddle")).isEqualTo(ExitCode.DONE);
        assertThat(text(out)).isEqualTo("saddle" + System.lineSeparator());
    }

    private int run(String... arguments) {
        return Launcher.of("binary", List.of(new EchoCommand()))
                .run(
                        arguments,
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8));
    }

    private static String text(ByteArrayOutputStream stream) {
        return stream.toString(StandardCharsets.UTF_8);
    }

    private static final class EchoCommand implements Command {
        @Override
        public String name() {
            return "echo";
        }

        @Override
        public String summary() {
            return "Print a word";
        }

        @Override
        public void declareOptions(OptionParser parser) {
            parser.accepts("word", "The word").withRequiredArg();
        }

        @Override
        public int run(OptionSet options, PrintStream printed, PrintStream faults) {
            printed.println(options.valueOf("word"));
            return ExitCode.DONE;
        }
    }
}
