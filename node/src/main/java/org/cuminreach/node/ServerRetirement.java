package org.cuminreach.node;

import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.runtime.http.HttpServer;

/** Takes the servers of a stopping node out of service while callers and nodes move elsewhere. */
final class ServerRetirement {
    private static final long POLL_INTERVAL_MILLIS = 20;
    private static final long IDLE_BEFORE_STOP_MILLIS = 300;

    /** Time in which connections are closed after their next answer while new ones are accepted. */
    private static final long CONNECTION_RETIREMENT_MILLIS = 500;

    /** Time in which calls on open connections are accepted after the server stops listening. */
    private static final long KEEP_ALIVE_GRACE_MILLIS = 200;

    private final HttpServer callerServer;
    private final HttpServer inboundServer;

    ServerRetirement(HttpServer callerServer, HttpServer inboundServer) {
        this.callerServer = callerServer;
        this.inboundServer = inboundServer;
    }

    /**
     * Stops accepting requests and waits for those in progress.
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
        long idleSinceMillis = 0;
        while (ProcessClock.monotonicMillis() < deadlineMillis) {
            long nowMillis = ProcessClock.monotonicMillis();
            long receivedNow = callerServer.receivedRequests() + inboundServer.receivedRequests();
            if (inProgress() > 0 || receivedNow != received) {
                received = receivedNow;
                idleSinceMillis = nowMillis;
            } else if (nowMillis - idleSinceMillis >= IDLE_BEFORE_STOP_MILLIS) {
                return;
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }
}
