package org.cuminreach.runtime.launch;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.cuminreach.runtime.log.LogSetup;

/** Command-line launcher of a binary: runs the command that the arguments name. */
public final class Launcher {
    /** Version of the binaries. */
    public static final String VERSION = "0.1.0";

    private static final String HELP = "--help";

    private final String binary;
    private final List<Command> commands;

    private Launcher(String binary, List<Command> commands) {
        this.binary = binary;
        this.commands = List.copyOf(commands);
    }

    /**
     * Returns the launcher of a binary.
     *
     * @param binary name of the binary
     * @param commands its commands
     * @return the launcher
     */
    public static Launcher of(String binary, List<Command> commands) {
        return new Launcher(binary, commands);
    }

    /**
     * Runs the command that the arguments name.
     *
     * @param arguments the command line
     * @param out receives the results
     * @param err receives error messages, and the usage after an invalid command line
     * @return the exit code
     */
    public int run(String[] arguments, PrintStream out, PrintStream err) {
        if (arguments.length == 0) {
            printUsage(err);
            return ExitCode.USAGE;
        }
        if (arguments[0].equals(HELP)) {
            printUsage(out);
            return ExitCode.DONE;
        }
        if (arguments[0].equals("--version")) {
            out.println(binary + " " + VERSION);
            return ExitCode.DONE;
        }
        Optional<Command> command =
                commands.stream().filter(known -> known.name().equals(arguments[0])).findFirst();
        if (command.isEmpty()) {
            err.println(binary + ": unknown command \"" + arguments[0] + "\"");
            printUsage(err);
            return ExitCode.USAGE;
        }
        String[] rest = Arrays.copyOfRange(arguments, 1, arguments.length);
        return run(command.get(), rest, out, err);
    }

    private int run(Command command, String[] arguments, PrintStream out, PrintStream err) {
        OptionParser parser = new OptionParser();
        command.declareOptions(parser);
        parser.accepts("help", "Show this help").forHelp();
        OptionSet options;
        try {
            options = parser.parse(arguments);
        } catch (OptionException invalid) {
            err.println(binary + " " + command.name() + ": " + invalid.getMessage());
            printHelp(parser, err);
            return ExitCode.USAGE;
        }
        if (options.has("help")) {
            out.println(binary + " " + command.name() + ": " + command.summary());
            printHelp(parser, out);
            return ExitCode.DONE;
        }
        if (!options.nonOptionArguments().isEmpty()) {
            err.println(
                    "%s %s: unexpected argument \"%s\""
                            .formatted(
                                    binary, command.name(), options.nonOptionArguments().get(0)));
            return ExitCode.USAGE;
        }
        LogSetup.quiet();
        return command.run(options, out, err);
    }

    private void printUsage(PrintStream stream) {
        stream.println("Usage: " + binary + " COMMAND [OPTIONS]");
        stream.println("       " + binary + " --help | --version");
        stream.println("Commands (COMMAND --help lists the options):");
        for (Command command : commands) {
            stream.printf("  %-12s %s%n", command.name(), command.summary());
        }
    }

    private static void printHelp(OptionParser parser, PrintStream stream) {
        try {
            parser.printHelpOn(stream);
        } catch (IOException failure) {
            stream.println("The help could not be printed: " + failure.getMessage());
        }
    }
}
