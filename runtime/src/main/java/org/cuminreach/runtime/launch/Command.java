package org.cuminreach.runtime.launch;

import java.io.PrintStream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** One command of a binary. */
public interface Command {
    /**
     * Returns the name of the command on the command line.
     *
     * @return the name
     */
    String name();

    /**
     * Returns a summary of the command.
     *
     * @return the summary, on one line
     */
    String summary();

    /**
     * Declares the options of the command.
     *
     * @param parser receives the options
     */
    void declareOptions(OptionParser parser);

    /**
     * Runs the command.
     *
     * @param options the parsed options
     * @param out receives the results
     * @param err receives the error messages
     * @return an {@link ExitCode}
     */
    int run(OptionSet options, PrintStream out, PrintStream err);
}
