package org.cuminreach.runtime.log;

/** Least level that is written. */
public enum LogLevel {
    /** Everything. */
    TRACE,
    /** Details for developers. */
    DEBUG,
    /** Every decision. */
    INFO,
    /** What an operator should look at. */
    WARN,
    /** What stops the process. */
    ERROR
}
