package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to {@code record.txt}, with the time since the start. */
final class Record implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    synchronized void line(String format, Object... arguments) {
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        String text =
                String.format(Locale.ROOT, "%8.3f ", seconds)
                        + String.format(Locale.ROOT, format, arguments);
        out.println(text);
        out.flush();
        System.out.println(text);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
