package org.cuminreach.trial.mesh;

import java.io.IOException;
import java.io.PrintStream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** A trial on a mesh of separate processes that ends in a table of promises. */
public interface MeshTrial {
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
     * Returns the first of the ports that it uses when none is given.
     *
     * @return the port
     */
    int defaultFirstPort();

    /**
     * Declares options of its own.
     *
     * @param parser receives the options
     */
    void declareOptions(OptionParser parser);

    /**
     * Runs it; the processes are stopped afterwards.
     *
     * @param setting where it runs
     * @param options the parsed options
     * @param out where progress goes
     * @return the closing table
     * @throws IOException when a file or process cannot be had
     * @throws InterruptedException when interrupted while waiting
     */
    ResultTable run(TrialCommand.Environment setting, OptionSet options, PrintStream out)
            throws IOException, InterruptedException;
}
