package org.cuminreach.node.caller;

import static com.google.common.truth.Truth.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.util.List;
import net.jqwik.api.Example;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.http.SendOutcome;
import org.cuminreach.runtime.http.HttpAnswer;
import org.slf4j.LoggerFactory;

class TransferLogTest {
    private static final long MICROS_PER_MILLI = 1_000;

    @Example
    void callThatSpentLongBetweenNodesIsLogged() {
        List<String> lines = linesAfter(answer("200"), 350);

        assertThat(lines).hasSize(1);
        assertThat(lines.getFirst()).contains("transfer_ms=150 held_ms=200");
    }

    @Example
    void callThatWasHeldByNodeOfTargetIsNotLogged() {
        assertThat(linesAfter(answer("300"), 350)).isEmpty();
    }

    @Example
    void malformedHeldTimeIsIgnored() {
        assertThat(linesAfter(answer("soon"), 350)).isEmpty();
    }

    @Example
    void heldTimeIsNotPassedToCaller() {
        SendOutcome.Completed answer = answer("200");
        linesAfter(answer, 350);

        assertThat(answer.answer().headers().contains(MeshHeaders.HELD_MILLIS)).isFalse();
    }

    private static SendOutcome.Completed answer(String held) {
        return new SendOutcome.Completed(
                HttpAnswer.of(200, "text/plain", "").setHeader(MeshHeaders.HELD_MILLIS, held));
    }

    private static List<String> linesAfter(SendOutcome sent, long elapsedMillis) {
        Logger logger = (Logger) LoggerFactory.getLogger(TransferLog.class);
        ListAppender<ILoggingEvent> appender = new ListAppender<>();
        appender.start();
        Level level = logger.getLevel();
        logger.setLevel(Level.INFO);
        logger.addAppender(appender);
        try {
            TransferLog.record(
                    RouteStatisticsTest.attempts(),
                    "node-1",
                    sent,
                    elapsedMillis * MICROS_PER_MILLI);
        } finally {
            logger.detachAppender(appender);
            logger.setLevel(level);
        }
        return appender.list.stream().map(ILoggingEvent::getFormattedMessage).toList();
    }
}
