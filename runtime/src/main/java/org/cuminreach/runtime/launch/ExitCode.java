package org.cuminreach.runtime.launch;

/** Exit codes of the commands. */
public final class ExitCode {
    /** The command succeeded. */
    public static final int DONE = 0;

    /** The command was refused, or the condition that it waited for did not occur. */
    public static final int REFUSED = 1;

    /** The command line was invalid. */
    public static final int USAGE = 2;

    /** The outcome of the command is unknown. */
    public static final int UNKNOWN = 4;

    private ExitCode() {}
}
