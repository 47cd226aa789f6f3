package org.cuminreach.runtime;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Starts and stops the event loops that serve the connections of a process. */
public final class EventLoops {
    private static final long QUIET_PERIOD_SECONDS = 0;
    private static final long SHUTDOWN_TIMEOUT_SECONDS = 1;

    private EventLoops() {}

    /**
     * Creates a group of event loops.
     *
     * @param threads number of threads
     * @return the group
     */
    @SuppressWarnings("deprecation") // AsyncHttpClient accepts only this type of group
    public static EventLoopGroup start(int threads) {
        return new NioEventLoopGroup(threads);
    }

    /**
     * Waits until each event loop of a group has run a task that is submitted now.
     *
     * @param eventLoops the group
     * @param timeoutMillis maximum time to wait for each event loop, in milliseconds
     * @return whether all have run it in time
     * @throws InterruptedException when interrupted while waiting
     */
    public static boolean awaitPass(EventLoopGroup eventLoops, long timeoutMillis)
            throws InterruptedException {
        List<Future<?>> passes = new ArrayList<>();
        for (EventExecutor eventLoop : eventLoops) {
            passes.add(eventLoop.submit(() -> {}));
        }
        boolean passed = true;
        for (Future<?> pass : passes) {
            passed &= pass.await(timeoutMillis);
        }
        return passed;
    }

    /**
     * Starts to stop a group of event loops, without a quiet period.
     *
     * @param eventLoops the group
     */
    public static void stop(EventLoopGroup eventLoops) {
        eventLoops.shutdownGracefully(
                QUIET_PERIOD_SECONDS, SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
