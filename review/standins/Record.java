package review;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;

/** The record of a case: one line for each event, with the seconds since the start. */
final class Record implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintStream out;

    Record(Path file) throws IOException {
        out = new PrintStream(file.toFile(), "UTF-8");
    }

    synchronized void add(String event) {
        String line = "%8.3f %s".formatted((System.nanoTime() - startNanos) / 1e9, event);
        out.println(line);
        out.flush();
        System.out.println(line);
    }

    @Override
    public void close() {
        out.close();
    }
}
