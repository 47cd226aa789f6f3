package org.cuminreach.runtime.launch;

/** Exit codes of every command. */
public final class ExitCode {
    /** The command did what it was asked. */
    public static final int DONE = 0;

    /** The command was refused, or what it waited for did not come. */
    public static final int REFUSED = 1;

    /** The command line was wrong. */
    public static final int USAGE = 2;

    /** Whether it was done is not known. */
    public static final int UNKNOWN = 4;

    private ExitCode() {}
}
