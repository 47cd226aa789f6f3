package org.cuminreach.runtime.log;

import org.cuminreach.settings.CheckedObject;

/**
 * Settings of the log.
 *
 * @param level least level that is written
 * @param format form of the lines
 */
public record LogSettings(LogLevel level, LogFormat format) {
    /**
     * Reads the optional object {@code log}.
     *
     * @param object the settings that hold it
     * @return the settings; key=value text from level INFO when absent
     */
    public static LogSettings read(CheckedObject object) {
        return object.object(
                        "log",
                        log ->
                                new LogSettings(
                                        log.choice("level", LogLevel.INFO),
                                        log.choice("format", LogFormat.TEXT)))
                .orElse(new LogSettings(LogLevel.INFO, LogFormat.TEXT));
    }
}
