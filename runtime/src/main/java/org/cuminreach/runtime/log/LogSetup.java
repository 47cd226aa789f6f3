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

    private static volatile Optional<BatchAppender> appender = Optional.empty();
    private static volatile EventRateFilter rateFilter = new EventRateFilter(Integer.MAX_VALUE);

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
        BatchAppender batches = new BatchAppender(encoder(context, settings.format()));
        batches.setContext(context);
        batches.addFilter(rateFilter);
        batches.start();
        appender = Optional.of(batches);
        setRootAppender(context, batches);
        context.getLogger("org.cuminreach").setLevel(Level.valueOf(settings.level().name()));
    }

    /** Logs only warnings and errors, to standard error. */
    public static void quiet() {
        LoggerContext context = context();
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        console.setTarget(ConsoleTarget.SystemErr.getName());
        console.setEncoder(encoder(context, LogFormat.TEXT));
        console.start();
        setRootAppender(context, console);
    }

    /** Writes the queued lines and stops logging, at the end of the process. */
    public static void finish() {
        ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
    }

    /** Logs how many lines were dropped since the last report and why, if any. */
    public static void reportDroppedLines() {
        reportDroppedLines(rateFilter.drainDroppedLines(), "event_rate_limit");
        reportDroppedLines(appender.map(BatchAppender::drainDroppedLines).orElse(0L), "queue_full");
    }

    private static void reportDroppedLines(long lines, String reason) {
        if (lines > 0) {
            LOGGER.warn("event=log_lines_dropped lines={} reason={}", lines, reason);
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

    private static Encoder<ILoggingEvent> encoder(LoggerContext context, LogFormat format) {
        EncoderBase<ILoggingEvent> encoder = createEncoder(format);
        encoder.setContext(context);
        encoder.start();
        return (Encoder<ILoggingEvent>) encoder;
    }

    private static EncoderBase<ILoggingEvent> createEncoder(LogFormat format) {
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
