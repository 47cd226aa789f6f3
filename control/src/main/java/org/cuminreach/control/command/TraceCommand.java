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

/** Finds the lines of a request in the logs of all processes and puts them in the order of time. */
final class TraceCommand implements Command {
    private static final String REQUEST = "request";
    private static final String LOG = "log";

    /** Characters of a line's time, as in 2026-12-04T10:00:00.000Z. */
    private static final int TIMESTAMP_CHARACTERS = 24;

    /** A line and the file it stands in. */
    private record LogLine(String timestamp, String file, String text) {}

    @Override
    public String name() {
        return "trace";
    }

    @Override
    public String summary() {
        return "Print all log lines of a request, over all processes, in the order of time";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        parser.accepts(REQUEST, "Id of the request").withRequiredArg().required();
        parser.accepts(LOG, "Log file of a process; may be repeated").withRequiredArg().required();
    }

    @Override
    public int run(OptionSet options, PrintStream out, PrintStream err) {
        String mark = "request=" + options.valueOf(REQUEST);
        List<LogLine> found = new ArrayList<>();
        for (Object file : options.valuesOf(LOG)) {
            try {
                for (String text : Files.readAllLines(Path.of((String) file))) {
                    if (containsToken(text, mark)) {
                        found.add(parseLine(Path.of((String) file), text));
                    }
                }
            } catch (IOException unreadable) {
                err.println(file + ": cannot be read: " + unreadable);
                return ExitCode.REFUSED;
            }
        }
        found.sort(Comparator.comparing(LogLine::timestamp));
        found.forEach(line -> out.println(line.file() + " " + line.text()));
        if (found.isEmpty()) {
            err.println("no line names " + mark);
        }
        return found.isEmpty() ? ExitCode.UNKNOWN : ExitCode.DONE;
    }

    private static LogLine parseLine(Path file, String text) {
        String time = text.substring(0, Math.min(TIMESTAMP_CHARACTERS, text.length()));
        return new LogLine(time, String.valueOf(file.getFileName()), text);
    }

    /** Finds the mark as a whole word, so that no longer id matches. */
    private static boolean containsToken(String text, String mark) {
        int at = text.indexOf(mark);
        int end = at + mark.length();
        return at >= 0 && (end == text.length() || text.charAt(end) == ' ');
    }
}
