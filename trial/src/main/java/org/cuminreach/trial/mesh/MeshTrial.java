package org.cuminreach.trial.mesh;

import java.io.IOException;
import java.io.PrintStream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** A trial on a mesh of separate processes that returns a table of checked results. */
public interface MeshTrial {
    /**
     * Returns the name of its command.
     *
     * @return the name
     */
    String name();

    /**
     * Returns its description for the command help.
     *
     * @return one line
     */
    String summary();

    /**
     * Returns the default of the first port that it uses.
     *
     * @return the port
     */
    int defaultFirstPort();

    /**
     * Declares additional options of the command.
     *
     * @param parser receives the options
     */
    void declareOptions(OptionParser parser);

    /**
     * Runs the trial; {@link TrialCommand} stops the processes afterwards.
     *
     * @param environment ports, files, processes and client of the trial
     * @param options the parsed options
     * @param out receives progress messages
     * @return the results
     * @throws IOException if a file cannot be written or a process cannot be started
     * @throws InterruptedException if interrupted while waiting
     */
    ResultTable run(TrialCommand.Environment environment, OptionSet options, PrintStream out)
            throws IOException, InterruptedException;
}
