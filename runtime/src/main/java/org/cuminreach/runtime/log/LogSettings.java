package org.cuminreach.runtime.log;

import org.cuminreach.settings.CheckedObject;

/**
 * Settings of the log.
 *
 * @param level least level that is written
 * @param format form of the lines
 * @param linesPerSecond most lines of one kind in a second; warnings and errors are not bounded
 */
public record LogSettings(LogLevel level, LogFormat format, int linesPerSecond) {
    /** At ten kinds in use and 300 bytes a line, 600 KB a second at the most. */
    private static final int DEFAULT_LINES_PER_SECOND = 200;

    private static final int MAX_LINES_PER_SECOND = 1_000_000;

    /**
     * Returns settings with the standard bound.
     *
     * @param level least level that is written
     * @param format form of the lines
     * @return the settings
     */
    public static LogSettings of(LogLevel level, LogFormat format) {
        return new LogSettings(level, format, DEFAULT_LINES_PER_SECOND);
    }

    /**
     * Reads the optional object {@code log}.
     *
     * @param object the settings that hold it
     * @return the settings; key=value text from level INFO when absent
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
