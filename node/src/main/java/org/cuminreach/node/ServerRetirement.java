package org.cuminreach.node;

import io.netty.channel.EventLoopGroup;
import java.util.Optional;
import org.cuminreach.node.http.CallAnswers;
import org.cuminreach.runtime.EventLoops;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.runtime.http.HttpServer;

/** Takes the servers of a stopping node out of service while callers and nodes move elsewhere. */
final class ServerRetirement {
    private static final long POLL_INTERVAL_MILLIS = 20;

    /** Consecutive passes of the event loops without a request after which the node is idle. */
    private static final int IDLE_PASSES = 15;

    /** Time in which connections are closed after their next answer while new ones are accepted. */
    private static final long CONNECTION_RETIREMENT_MILLIS = 500;

    /** Time in which calls on open connections are accepted after the server stops listening. */
    private static final long KEEP_ALIVE_GRACE_MILLIS = 200;

    private final EventLoopGroup eventLoops;
    private final HttpServer callerServer;
    private final HttpServer inboundServer;

    ServerRetirement(EventLoopGroup eventLoops, HttpServer callerServer, HttpServer inboundServer) {
        this.eventLoops = eventLoops;
        this.callerServer = callerServer;
        this.inboundServer = inboundServer;
    }

    /**
     * Stops accepting requests, waits for those in progress and closes the connections once they
     * have been read empty.
     *
     * @param delayMillis time for which requests are still accepted, in milliseconds
     * @param deadlineMillis end of the wait, on the monotonic clock
     * @throws InterruptedException when interrupted while waiting
     */
    void run(long delayMillis, long deadlineMillis) throws InterruptedException {
        Thread.sleep(Math.max(0, delayMillis - CONNECTION_RETIREMENT_MILLIS));
        callerServer.drainConnections();
        inboundServer.drainConnections();
        Thread.sleep(Math.min(delayMillis, CONNECTION_RETIREMENT_MILLIS));
        callerServer.stopAccepting();
        inboundServer.stopAccepting();
        Thread.sleep(Math.min(delayMillis, KEEP_ALIVE_GRACE_MILLIS));
        callerServer.refuseRequests();
        awaitIdle(deadlineMillis);
        inboundServer.refuseRequests(ServerRetirement::refusal);
        awaitClosedConnections(deadlineMillis);
    }

    private static HttpAnswer refusal() {
        return CallAnswers.notRun(503, "node_stops", Optional.empty());
    }

    /**
     * Returns the number of requests whose answers are not yet written completely.
     *
     * @return requests in progress at both servers
     */
    int inProgress() {
        return callerServer.requestsInProgress() + inboundServer.requestsInProgress();
    }

    /**
     * Waits until no request is in progress and none has arrived on open connections for a while.
     */
    private void awaitIdle(long deadlineMillis) throws InterruptedException {
        long received = -1;
        int idlePasses = 0;
        while (idlePasses < IDLE_PASSES) {
            long remainingMillis = deadlineMillis - ProcessClock.monotonicMillis();
            if (remainingMillis <= 0 || !EventLoops.awaitPass(eventLoops, remainingMillis)) {
                return;
            }
            long receivedNow = callerServer.receivedRequests() + inboundServer.receivedRequests();
            boolean idle = inProgress() == 0 && receivedNow == received;
            idlePasses = idle ? idlePasses + 1 : 0;
            received = receivedNow;
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private void awaitClosedConnections(long deadlineMillis) throws InterruptedException {
        while (callerServer.openConnections() + inboundServer.openConnections() > 0
                && ProcessClock.monotonicMillis() < deadlineMillis) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }
}
