package org.cuminreach.runtime.launch;

import java.io.PrintStream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** One command of a binary. */
public interface Command {
    /**
     * Returns the word that calls it.
     *
     * @return the name
     */
    String name();

    /**
     * Says what it does.
     *
     * @return one line
     */
    String summary();

    /**
     * Declares its options.
     *
     * @param parser receives the options
     */
    void declareOptions(OptionParser parser);

    /**
     * Runs it.
     *
     * @param options the parsed options
     * @param out where results go
     * @param err where faults go
     * @return an {@link ExitCode}
     */
    int run(OptionSet options, PrintStream out, PrintStream err);
}
