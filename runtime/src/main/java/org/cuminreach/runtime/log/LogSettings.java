package org.cuminreach.runtime.log;

import org.cuminreach.settings.CheckedObject;

/**
 * Settings of the log.
 *
 * @param level minimum level of the lines that are written
 * @param format format of the lines
 * @param linesPerSecond maximum lines of an event per second; warnings and errors are not limited
 */
public record LogSettings(LogLevel level, LogFormat format, int linesPerSecond) {
    /** With ten events in use and 300 bytes per line, at most 600 KB per second. */
    private static final int DEFAULT_LINES_PER_SECOND = 200;

    private static final int MAX_LINES_PER_SECOND = 1_000_000;

    /**
     * Returns settings with the default limit of lines per second.
     *
     * @param level minimum level of the lines that are written
     * @param format format of the lines
     * @return the settings
     */
    public static LogSettings of(LogLevel level, LogFormat format) {
        return new LogSettings(level, format, DEFAULT_LINES_PER_SECOND);
    }

    /**
     * Reads the optional object {@code log}.
     *
     * @param object the settings that contain it
     * @return the settings; key=value text and level INFO when absent
     */
    public static LogSettings read(CheckedObject object) {
        return object.object("log", LogSettings::readLog).orElse(of(LogLevel.INFO, LogFormat.TEXT));
    }

    private static LogSettings readLog(CheckedObject log) {
        return new LogSettings(
                log.choice("level", LogLevel.INFO),
                log.choice("format", LogFormat.TEXT),
                (int)
                        log.number(
                                "linesPerSecond",
                                DEFAULT_LINES_PER_SECOND,
                                1,
                                MAX_LINES_PER_SECOND));
    }
}
