package org.cuminreach.runtime;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.util.concurrent.TimeUnit;

/** The threads that serve the connections of a process. */
public final class EventLoops {
    private static final long QUIET_PERIOD_SECONDS = 0;
    private static final long SHUTDOWN_TIMEOUT_SECONDS = 1;

    private EventLoops() {}

    /**
     * Starts threads.
     *
     * @param threads how many
     * @return their group
     */
    @SuppressWarnings("deprecation") // AsyncHttpClient accepts this kind of group only
    public static EventLoopGroup start(int threads) {
        return new NioEventLoopGroup(threads);
    }

    /**
     * Stops threads soon.
     *
     * @param eventLoops their group
     */
    public static void stop(EventLoopGroup eventLoops) {
        eventLoops.shutdownGracefully(
                QUIET_PERIOD_SECONDS, SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
