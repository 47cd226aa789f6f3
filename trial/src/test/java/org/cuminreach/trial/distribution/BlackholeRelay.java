package org.cuminreach.trial.distribution;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.cuminreach.settings.Address;

/** TCP relay that can silently drop all traffic while it keeps the connections open. */
final class BlackholeRelay implements AutoCloseable {
    private static final int BUFFER_BYTES = 64 * 1024;

    private final ServerSocket server;
    private final Address target;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private volatile boolean dropTraffic;

    private BlackholeRelay(Address target) throws IOException {
        this.target = target;
        this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    static BlackholeRelay to(Address target) throws IOException {
        BlackholeRelay relay = new BlackholeRelay(target);
        Thread.ofVirtual().start(relay::accept);
        return relay;
    }

    Address address() {
        return new Address("127.0.0.1", server.getLocalPort());
    }

    void dropTraffic(boolean drop) {
        dropTraffic = drop;
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket accepted = server.accept();
                sockets.add(accepted);
                Thread.ofVirtual().start(() -> connect(accepted));
            }
        } catch (IOException closed) {
            dropTraffic = true;
        }
    }

    private void connect(Socket accepted) {
        try {
            while (dropTraffic && !accepted.isClosed()) {
                Thread.sleep(20);
            }
            Socket outgoing = new Socket(target.host(), target.port());
            sockets.add(outgoing);
            Thread.ofVirtual().start(() -> forward(accepted, outgoing));
            forward(outgoing, accepted);
        } catch (IOException unreachable) {
            closeQuietly(accepted);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void forward(Socket from, Socket to) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            int count = input.read(buffer);
            while (count >= 0) {
                if (!dropTraffic) {
                    output.write(buffer, 0, count);
                }
                count = input.read(buffer);
            }
        } catch (IOException connectionLost) {
            closeQuietly(from);
        }
        if (!dropTraffic) {
            closeQuietly(to);
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            return;
        }
    }
}
