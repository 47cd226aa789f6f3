package org.cuminreach.runtime.log;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import ch.qos.logback.core.encoder.EncoderBase;
import ch.qos.logback.core.joran.spi.ConsoleTarget;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sets up the log of a process. */
public final class LogSetup {
    private static final Logger LOGGER = LoggerFactory.getLogger(LogSetup.class);
    private static final String PATTERN =
            "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX,UTC} %-5level %logger{0} %msg%n";

    /** Lines that wait for standard output; at 300 bytes a line about 600 KB. */
    private static final int MAX_QUEUED_LINES = 2_048;

    /** Places of the queue that only warnings and errors may take. */
    private static final int RESERVED_LINES = 512;

    private static volatile EventRateFilter rateFilter = new EventRateFilter(Integer.MAX_VALUE);

    private LogSetup() {}

    /**
     * Sends the product's log lines to standard output. A process never waits for it: what does not
     * fit the queue is left out, ordinary lines before warnings and errors.
     *
     * @param settings level, format and bound
     */
    public static void apply(LogSettings settings) {
        LoggerContext context = context();
        rateFilter = new EventRateFilter(settings.linesPerSecond());
        AsyncAppender queue = new AsyncAppender();
        queue.setContext(context);
        queue.setNeverBlock(true);
        queue.setQueueSize(MAX_QUEUED_LINES);
        queue.setDiscardingThreshold(RESERVED_LINES);
        queue.addFilter(rateFilter);
        queue.addAppender(console(context, settings.format(), ConsoleTarget.SystemOut));
        queue.start();
        setRootAppender(context, queue);
        context.getLogger("org.cuminreach").setLevel(Level.valueOf(settings.level().name()));
    }

    /** Keeps the libraries quiet and sends warnings to standard error. */
    public static void quiet() {
        LoggerContext context = context();
        setRootAppender(context, console(context, LogFormat.TEXT, ConsoleTarget.SystemErr));
    }

    /** Writes the lines that still wait, and no more afterwards: the process ends. */
    public static void finish() {
        ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
    }

    /** Writes how many lines the bound has left out since the last time, if any. */
    public static void reportDroppedLines() {
        long lines = rateFilter.drainDroppedLines();
        if (lines > 0) {
            LOGGER.warn("event=log_lines_left_out lines={} reason=bound_of_their_kind", lines);
        }
    }

    private static LoggerContext context() {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        return context;
    }

    private static void setRootAppender(LoggerContext context, Appender<ILoggingEvent> appender) {
        ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.addAppender(appender);
        root.setLevel(Level.WARN);
    }

    private static ConsoleAppender<ILoggingEvent> console(
            LoggerContext context, LogFormat format, ConsoleTarget target) {
        EncoderBase<ILoggingEvent> encoder = encoder(format);
        encoder.setContext(context);
        encoder.start();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setTarget(target.getName());
        appender.setEncoder((Encoder<ILoggingEvent>) encoder);
        appender.start();
        return appender;
    }

    private static EncoderBase<ILoggingEvent> encoder(LogFormat format) {
        return switch (format) {
            case JSON -> new JsonEncoder();
            case TEXT -> {
                PatternLayoutEncoder encoder = new PatternLayoutEncoder();
                encoder.setPattern(PATTERN);
                yield encoder;
            }
        };
    }
}
