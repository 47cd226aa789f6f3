package org.cuminreach.runtime.log;

/** Minimum level of the log lines that are written. */
public enum LogLevel {
    /** Everything. */
    TRACE,
    /** Details for developers. */
    DEBUG,
    /** Every decision of the process. */
    INFO,
    /** Conditions that an operator should look at. */
    WARN,
    /** Failures that stop the process. */
    ERROR
}
