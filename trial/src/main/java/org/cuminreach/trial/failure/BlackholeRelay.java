package org.cuminreach.trial.failure;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import org.cuminreach.settings.Address;

/**
 * Forwards bytes between two processes and can simulate a network that drops all traffic:
 * connections stay open and new ones are accepted, but no bytes are forwarded. After {@link #heal}
 * only new connections work; those that were open while traffic was dropped never forward bytes
 * again.
 */
public final class BlackholeRelay {
    private final Address target;
    private final EventLoopGroup eventLoops;
    private volatile boolean dropTraffic;

    private BlackholeRelay(Address target, EventLoopGroup eventLoops) {
        this.target = target;
        this.eventLoops = eventLoops;
    }

    /**
     * Starts a relay.
     *
     * @param listen address that it listens on
     * @param target address that it forwards bytes to
     * @param eventLoops event loops of its connections
     * @return the relay
     */
    public static BlackholeRelay start(Address listen, Address target, EventLoopGroup eventLoops) {
        BlackholeRelay relay = new BlackholeRelay(target, eventLoops);
        new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                relay.accept(channel);
                            }
                        })
                .bind(listen.host(), listen.port())
                .syncUninterruptibly();
        return relay;
    }

    /** Stops forwarding bytes. */
    public void dropTraffic() {
        dropTraffic = true;
    }

    /** Forwards bytes of new connections again. */
    public void heal() {
        dropTraffic = false;
    }

    private void accept(SocketChannel accepted) {
        Pipe toTarget = new Pipe();
        accepted.pipeline().addLast(toTarget);
        if (dropTraffic) {
            toTarget.discardBytes();
            accepted.config().setAutoRead(true);
            return;
        }
        Pipe fromTarget = new Pipe();
        fromTarget.otherEnd = accepted;
        new Bootstrap()
                .group(eventLoops)
                .channel(NioSocketChannel.class)
                .handler(fromTarget)
                .connect(target.host(), target.port())
                .addListener(
                        (io.netty.channel.ChannelFuture connected) -> {
                            if (connected.isSuccess()) {
                                toTarget.otherEnd = connected.channel();
                                accepted.config().setAutoRead(true);
                            } else {
                                accepted.close();
                            }
                        });
    }

    /** One direction of a connection. */
    private final class Pipe extends ChannelInboundHandlerAdapter {
        private volatile Channel otherEnd;
        private volatile boolean discarding;

        void discardBytes() {
            discarding = true;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            discarding = discarding || dropTraffic;
            if (discarding || otherEnd == null) {
                ReferenceCountUtil.release(bytes);
            } else {
                otherEnd.writeAndFlush(bytes);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            discarding = discarding || dropTraffic;
            if (otherEnd != null && !discarding) {
                otherEnd.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
