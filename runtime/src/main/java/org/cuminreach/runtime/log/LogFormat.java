package org.cuminreach.runtime.log;

/** Form of log lines. */
public enum LogFormat {
    /** Key=value text. */
    TEXT,
    /** One JSON object a line. */
    JSON
}
