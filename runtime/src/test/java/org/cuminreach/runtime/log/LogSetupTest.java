package org.cuminreach.runtime.log;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.Example;
import org.slf4j.LoggerFactory;

class LogSetupTest {
    @Example
    void quietKeepsStandardOutputForResults() {
        String printed =
                captureOutput(
                        () -> {
                            LogSetup.quiet();
                            LoggerFactory.getLogger("io.netty").debug("detail");
                            LoggerFactory.getLogger("org.cuminreach.x").warn("event=warning");
                        });

        assertThat(printed).isEmpty();
    }

    @Example
    void jsonFormatWritesOneObjectPerLine() {
        String printed =
                captureOutput(
                        () -> {
                            LogSetup.apply(LogSettings.of(LogLevel.INFO, LogFormat.JSON));
                            LoggerFactory.getLogger("org.cuminreach.x").info("event=started");
                            LogSetup.finish();
                        });

        assertThat(printed.lines().toList()).hasSize(1);
        assertThat(printed).startsWith("{");
        assertThat(printed).contains("event=started");
    }

    private static String captureOutput(Runnable action) {
        PrintStream before = System.out;
        ByteArrayOutputStream captured = new ByteArrayOutputStream();
        System.setOut(new PrintStream(captured, true, StandardCharsets.UTF_8));
        try {
            action.run();
        } finally {
            System.setOut(before);
        }
        return captured.toString(StandardCharsets.UTF_8);
    }
}
