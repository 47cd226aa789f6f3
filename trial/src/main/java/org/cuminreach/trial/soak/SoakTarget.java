package org.cuminreach.trial.soak;

import java.io.IOException;
import java.net.Socket;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.settings.Address;
import org.cuminreach.trial.once.ScriptedTarget;

/** A target whose limit is changed, and that leaves, while it answers calls. */
final class SoakTarget implements AutoCloseable {
    private static final int MIN_WORK_MILLIS = 10;
    private static final int MAX_WORK_MILLIS = 60;

    /** Of so many repeatable calls one is overdue, and one fails after as long. */
    private static final int CALLS_PER_OVERDUE_CALL = 20;

    private static final int OVERDUE_WORK_MILLIS = 400;

    private final String name;
    private final SoakLedger ledger;
    private final ScriptedTarget server;
    private volatile Optional<Double> limit = Optional.empty();
    private volatile boolean leaving;

    private SoakTarget(String name, SoakLedger ledger) throws IOException {
        this.name = name;
        this.ledger = ledger;
        this.server = ScriptedTarget.start(this::answer);
    }

    static SoakTarget start(String name, SoakLedger ledger) throws IOException {
        return new SoakTarget(name, ledger);
    }

    Address address() {
        return server.address();
    }

    String name() {
        return name;
    }

    boolean isLimited() {
        return limit.isPresent();
    }

    /** Sets the limit in calls per second, or ends it. */
    void setLimit(Optional<Double> stated) {
        ledger.recordLimit(name, stated, ProcessClock.monotonicMillis());
        limit = stated;
    }

    void leave() {
        leaving = true;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void answer(String head, String body, Socket socket)
            throws IOException, InterruptedException {
        SoakCall call = SoakCall.parse(head);
        ledger.recordRun(name, call, ProcessClock.monotonicMillis());
        int draw = ThreadLocalRandom.current().nextInt(CALLS_PER_OVERDUE_CALL);
        boolean fails = call.repeatable() && draw == 0;
        boolean overdue = fails || call.repeatable() && draw == 1;
        Thread.sleep(
                overdue
                        ? OVERDUE_WORK_MILLIS
                        : ThreadLocalRandom.current().nextInt(MIN_WORK_MILLIS, MAX_WORK_MILLIS));
        Optional<Double> stated = limit;
        boolean leavingNow = leaving;
        String text = new SoakAnswer(call.id(), name, stated.isPresent(), leavingNow).text();
        StringBuilder answer =
                new StringBuilder("HTTP/1.1 " + (fails ? "500 Failed" : "200 OK") + "\r\n");
        stated.ifPresent(rate -> answer.append(MeshHeaders.TARGET_LIMIT + ": " + rate + "\r\n"));
        if (leavingNow) {
            answer.append(MeshHeaders.TARGET_LEAVING + ": true\r\n");
        }
        answer.append("Content-Length: " + text.length() + "\r\n\r\n" + text);
        ScriptedTarget.write(socket, answer.toString());
    }
}
