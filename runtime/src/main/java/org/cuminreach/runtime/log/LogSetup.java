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
import org.slf4j.LoggerFactory;

/** Sets up Logback from the settings of a process. */
public final class LogSetup {
    private static final String PATTERN =
            "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX,UTC} %-5level %logger{0} %msg%n";

    private LogSetup() {}

    /**
     * Sends every log line to standard output in the form that the settings ask for.
     *
     * @param settings the settings
     */
    public static void apply(LogSettings settings) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        EncoderBase<ILoggingEvent> encoder = encoder(settings.format());
        encoder.setContext(context);
        encoder.start();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setEncoder((Encoder<ILoggingEvent>) encoder);
        appender.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.addAppender(appender);
        root.setLevel(Level.WARN);
        context.getLogger("org.cuminreach").setLevel(Level.valueOf(settings.level().name()));
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
