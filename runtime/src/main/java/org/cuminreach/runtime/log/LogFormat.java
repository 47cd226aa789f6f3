package org.cuminreach.runtime.log;

/** Format of log lines. */
public enum LogFormat {
    /** Key=value text. */
    TEXT,
    /** One JSON object per line. */
    JSON
}
