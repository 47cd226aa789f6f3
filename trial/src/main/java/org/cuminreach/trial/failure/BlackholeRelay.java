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
 * Passes bytes on between two processes until it is cut. A cut is silent: connections stay open and
 * new ones are accepted, but no byte passes. After the cut only new connections work; those that
 * were open stay silent for good.
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
     * @param listen where it listens
     * @param target where it passes the bytes on to
     * @param eventLoops threads that serve its connections
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

    /** Lets no more bytes pass. */
    public void dropTraffic() {
        dropTraffic = true;
    }

    /** Lets new connections work again. */
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
        Pipe back = new Pipe();
        back.otherEnd = accepted;
        new Bootstrap()
                .group(eventLoops)
                .channel(NioSocketChannel.class)
                .handler(back)
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
