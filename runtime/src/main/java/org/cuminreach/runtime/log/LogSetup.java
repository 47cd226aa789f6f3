package org.cuminreach.runtime.log;

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
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Configures the logging of a process. */
public final class LogSetup {
    private static final Logger LOGGER = LoggerFactory.getLogger(LogSetup.class);
    private static final String PATTERN =
            "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX,UTC} %-5level %logger{0} %msg%n";

    /** Maximum lines queued for standard output; at 300 bytes per line about 600 KB. */
    private static final int MAX_QUEUED_LINES = 2_048;

    /** Capacity of the queue that is reserved for warnings and errors. */
    private static final int RESERVED_LINES = 512;

    private static volatile EventRateFilter rateFilter = new EventRateFilter(Integer.MAX_VALUE);

    private static volatile Optional<LogQueue> logQueue = Optional.empty();

    private LogSetup() {}

    /**
     * Sends the log lines of the product to standard output. Logging never blocks: lines that do
     * not fit the queue are dropped, lines below level WARN first.
     *
     * @param settings level, format and rate limit
     */
    public static void apply(LogSettings settings) {
        LoggerContext context = context();
        rateFilter = new EventRateFilter(settings.linesPerSecond());
        LogQueue queue = new LogQueue(MAX_QUEUED_LINES, RESERVED_LINES);
        queue.setContext(context);
        queue.addFilter(rateFilter);
        queue.addAppender(console(context, settings.format(), ConsoleTarget.SystemOut));
        queue.start();
        logQueue = Optional.of(queue);
        setRootAppender(context, queue);
        context.getLogger("org.cuminreach").setLevel(Level.valueOf(settings.level().name()));
    }

    /** Logs only warnings and errors, to standard error. */
    public static void quiet() {
        LoggerContext context = context();
        setRootAppender(context, console(context, LogFormat.TEXT, ConsoleTarget.SystemErr));
    }

    /** Writes the queued lines and stops logging, at the end of the process. */
    public static void finish() {
        ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
    }

    /** Logs how many lines the rate limit or a full queue has dropped since the last report. */
    public static void reportDroppedLines() {
        long lines = rateFilter.drainDroppedLines();
        if (lines > 0) {
            LOGGER.warn("event=log_lines_dropped lines={} reason=event_rate_limit", lines);
        }
        long queueLines = logQueue.map(LogQueue::drainDroppedLines).orElse(0L);
        if (queueLines > 0) {
            LOGGER.warn("event=log_lines_dropped lines={} reason=queue_full", queueLines);
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
