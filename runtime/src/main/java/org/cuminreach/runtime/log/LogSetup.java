package org.cuminreach.runtime.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import ch.qos.logback.core.encoder.EncoderBase;
import ch.qos.logback.core.joran.spi.ConsoleTarget;
import org.slf4j.LoggerFactory;

/** Sets up Logback from the settings of a process. */
public final class LogSetup {
    private static final String PATTERN =
            "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX,UTC} %-5level %logger{0} %msg%n";

    private LogSetup() {}

    /**
     * Sends every log line of a serving process to standard output, in the form that its settings
     * ask for.
     *
     * @param settings the settings
     */
    public static void apply(LogSettings settings) {
        LoggerContext context = send(settings.format(), ConsoleTarget.SystemOut);
        context.getLogger("org.cuminreach").setLevel(Level.valueOf(settings.level().name()));
    }

    /** Keeps standard output for the results of a command: only warnings go to standard error. */
    public static void quiet() {
        send(LogFormat.TEXT, ConsoleTarget.SystemErr);
    }

    private static LoggerContext send(LogFormat format, ConsoleTarget target) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        EncoderBase<ILoggingEvent> encoder = encoder(format);
        encoder.setContext(context);
        encoder.start();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setTarget(target.getName());
        appender.setEncoder((Encoder<ILoggingEvent>) encoder);
        appender.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.addAppender(appender);
        root.setLevel(Level.WARN);
        return context;
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
