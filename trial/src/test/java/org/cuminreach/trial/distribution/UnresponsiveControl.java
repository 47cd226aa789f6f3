package org.cuminreach.trial.distribution;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import org.cuminreach.settings.Address;

/** The address of a control that does not respond: one that is suspended, or has no power. */
final class UnresponsiveControl implements AutoCloseable {
    private static final int LONG_BACKLOG = 50;
    private static final int FILLING_CONNECTIONS = 8;

    private final ServerSocket server;
    private final List<SocketChannel> filling = new ArrayList<>();

    private UnresponsiveControl(ServerSocket server) {
        this.server = server;
    }

    /** Returns an address at which connections are opened, but nothing is read or written. */
    static UnresponsiveControl suspended() throws IOException {
        return new UnresponsiveControl(
                new ServerSocket(0, LONG_BACKLOG, InetAddress.getLoopbackAddress()));
    }

    /** Returns an address at which connection attempts get no response: its backlog is full. */
    static UnresponsiveControl withoutPower() throws IOException {
        UnresponsiveControl control =
                new UnresponsiveControl(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
        for (int number = 0; number < FILLING_CONNECTIONS; number++) {
            SocketChannel channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.connect(
                    new InetSocketAddress(
                            InetAddress.getLoopbackAddress(), control.server.getLocalPort()));
            control.filling.add(channel);
        }
        return control;
    }

    Address address() {
        return new Address("127.0.0.1", server.getLocalPort());
    }

    @Override
    public void close() throws IOException {
        for (SocketChannel channel : filling) {
            channel.close();
        }
        server.close();
    }
}
