package org.cuminreach.control.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.cuminreach.runtime.launch.Command;
import org.cuminreach.runtime.launch.ExitCode;

/** Prints the log lines of a request from the logs of several processes, in time order. */
final class TraceCommand implements Command {
    private static final String REQUEST = "request";
    private static final String LOG = "log";

    /** Length of the timestamp at the start of a line, such as 2026-12-04T10:00:00.000Z. */
    private static final int TIMESTAMP_CHARACTERS = 24;

    /** A log line and the name of its file. */
    private record LogLine(String timestamp, String file, String text) {}

    @Override
    public String name() {
        return "trace";
    }

    @Override
    public String summary() {
        return "Print the log lines of a request from all given logs, in time order";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        parser.accepts(REQUEST, "Request id").withRequiredArg().required();
        parser.accepts(LOG, "Log file of a process; may be given several times")
                .withRequiredArg()
                .required();
    }

    @Override
    public int run(OptionSet options, PrintStream out, PrintStream err) {
        String token = "request=" + options.valueOf(REQUEST);
        List<LogLine> lines = new ArrayList<>();
        for (Object file : options.valuesOf(LOG)) {
            try {
                for (String text : Files.readAllLines(Path.of((String) file))) {
                    if (containsToken(text, token)) {
                        lines.add(parseLine(Path.of((String) file), text));
                    }
                }
            } catch (IOException e) {
                err.println(file + ": cannot be read: " + e);
                return ExitCode.REFUSED;
            }
        }
        lines.sort(Comparator.comparing(LogLine::timestamp));
        lines.forEach(line -> out.println(line.file() + " " + line.text()));
        if (lines.isEmpty()) {
            err.println("no log line contains " + token);
        }
        return lines.isEmpty() ? ExitCode.UNKNOWN : ExitCode.DONE;
    }

    private static LogLine parseLine(Path file, String text) {
        String timestamp = text.substring(0, Math.min(TIMESTAMP_CHARACTERS, text.length()));
        return new LogLine(timestamp, String.valueOf(file.getFileName()), text);
    }

    /**
     * Tells whether the text contains the token as a word, so that an id does not match longer ids
     * that begin with it, nor a field whose name ends with the token's.
     */
    private static boolean containsToken(String text, String token) {
        int start = text.indexOf(token);
        while (start >= 0) {
            int end = start + token.length();
            boolean begins = start == 0 || isDelimiter(text.charAt(start - 1));
            if (begins && (end == text.length() || isDelimiter(text.charAt(end)))) {
                return true;
            }
            start = text.indexOf(token, end);
        }
        return false;
    }

    /** Tells whether a word ends at a character; quotes delimit messages in the JSON format. */
    private static boolean isDelimiter(char character) {
        return character == ' ' || character == '"';
    }
}
