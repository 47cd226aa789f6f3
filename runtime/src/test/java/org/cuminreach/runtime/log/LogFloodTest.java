package org.cuminreach.runtime.log;

import static com.google.common.truth.Truth.assertThat;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs a flood of lines while standard output is blocked. */
class LogFloodTest {
    private static final int LINES = 100_000;
    private static final long TIMEOUT_SECONDS = 60;

    /** Blocks every write until it is opened, then counts lines. */
    private static final class BlockedOutput extends OutputStream {
        private final CountDownLatch opened = new CountDownLatch(1);
        private final AtomicInteger warnings = new AtomicInteger();
        private final AtomicInteger lines = new AtomicInteger();

        @Override
        public void write(int one) {
            throw new UnsupportedOperationException("log lines are written as byte arrays");
        }

        @Override
        public void write(byte[] bytes, int offset, int length) {
            try {
                opened.await();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
            String text =
                    new String(bytes, offset, length, java.nio.charset.StandardCharsets.UTF_8);
            lines.addAndGet((int) text.chars().filter(character -> character == '\n').count());
            warnings.addAndGet(text.split(" WARN ", -1).length - 1);
        }
    }

    @Example
    void floodNeitherBlocksNorDropsWarnings() throws Exception {
        PrintStream original = System.out;
        BlockedOutput blocked = new BlockedOutput();
        System.setOut(new PrintStream(blocked, true));
        try {
            LogSetup.apply(new LogSettings(LogLevel.INFO, LogFormat.TEXT, 1_000_000));
            Logger logger = LoggerFactory.getLogger("org.cuminreach.flood");
            Thread flood =
                    new Thread(
                            () -> {
                                for (int line = 0; line < LINES; line++) {
                                    logger.info("event=flood line={}", line);
                                }
                                logger.warn("event=after_the_flood");
                            });
            flood.start();
            flood.join(TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
            assertThat(flood.isAlive()).isFalse();

            blocked.opened.countDown();
            long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
            while (blocked.warnings.get() == 0 && System.nanoTime() < deadline) {
                Thread.sleep(10);
            }
            assertThat(blocked.warnings.get()).isEqualTo(1);
            assertThat(blocked.lines.get()).isLessThan(LINES);

            LogSetup.reportDroppedLines();
            while (blocked.warnings.get() == 1 && System.nanoTime() < deadline) {
                Thread.sleep(10);
            }
            assertThat(blocked.warnings.get()).isEqualTo(2);
        } finally {
            blocked.opened.countDown();
            System.setOut(original);
            LogSetup.quiet();
        }
    }
}
