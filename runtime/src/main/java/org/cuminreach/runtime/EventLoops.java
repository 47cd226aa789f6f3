package org.cuminreach.runtime;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
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
     * Starts to stop a group of event loops, without a quiet period.
     *
     * @param eventLoops the group
     */
    public static void stop(EventLoopGroup eventLoops) {
        eventLoops.shutdownGracefully(
                QUIET_PERIOD_SECONDS, SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
