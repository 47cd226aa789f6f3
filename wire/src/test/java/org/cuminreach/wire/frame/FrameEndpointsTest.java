package org.cuminreach.wire.frame;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.cuminreach.settings.Address;
import org.cuminreach.wire.StructCodec;
import org.cuminreach.wire.generated.Frame;
import org.cuminreach.wire.generated.Heartbeat;

class FrameEndpointsTest {
    private static final int TIMEOUT_SECONDS = 20;
    private static final long IDLE_TIMEOUT_MILLIS = 300;
    private static final String LOOPBACK = "127.0.0.1";

    private static EventLoopGroup eventLoops;
    private static Address address;

    /** Listener of the most recently accepted connection. */
    private static volatile RecordingListener latestListener;

    @BeforeContainer
    static void listen() throws IOException {
        eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (ServerSocket free = new ServerSocket(0)) {
            address = new Address(LOOPBACK, free.getLocalPort());
        }
        endpoints(TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS))
                .listen(
                        address,
                        () -> {
                            latestListener = new RecordingListener();
                            return latestListener;
                        })
                .join();
    }

    @AfterContainer
    static void stop() {
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Example
    void sentFrameIsReceived() throws Exception {
        latestListener = null;
        RecordingListener client = new RecordingListener();
        Channel channel = endpoints(IDLE_TIMEOUT_MILLIS * 100).connect(address, client).join();
        FrameConnection connection = client.opened.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);

        assertThat(connection.send(Frame.heartbeat(new Heartbeat(7)))).isTrue();

        Frame received = awaitListener().received.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertThat(received.getHeartbeat().getSentMillis()).isEqualTo(7);
        channel.close().sync();
    }

    @Example
    void frameOfInvalidLengthClosesOnlyItsConnection() throws Exception {
        sendRawAndAwaitClose(Integer.MAX_VALUE, new byte[] {1, 2, 3});
        sendRawAndAwaitClose(-1, new byte[] {1, 2, 3});
        sentFrameIsReceived();
    }

    @Property(seed = "41", tries = 60)
    void garbageClosesOnlyItsConnection(@ForAll byte[] garbage) throws Exception {
        byte[] malformed = new byte[garbage.length + 2];
        malformed[0] = (byte) 0x1c; // header of a struct field that is never completed
        System.arraycopy(garbage, 0, malformed, 1, garbage.length);
        malformed[malformed.length - 1] = (byte) 0xff;
        sendRawAndAwaitClose(malformed.length, malformed);
    }

    @Example
    void unknownFrameTypeIsIgnored() throws Exception {
        try (Socket socket = open()) {
            RecordingListener listener = awaitListener();
            byte[] unknown = {(byte) 0x05, (byte) 0xa0, 0x06, 0x00, 0x00};
            writeFrame(socket, unknown.length, unknown);
            byte[] known = StructCodec.encode(Frame.heartbeat(new Heartbeat(9)));
            writeFrame(socket, known.length, known);

            Frame received = listener.received.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertThat(received.getHeartbeat().getSentMillis()).isEqualTo(9);
        }
    }

    @Example
    void idleConnectionIsClosed() throws Exception {
        try (ServerSocket silent = new ServerSocket(0)) {
            RecordingListener client = new RecordingListener();
            endpoints(IDLE_TIMEOUT_MILLIS)
                    .connect(new Address(LOOPBACK, silent.getLocalPort()), client)
                    .join();

            client.closed.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    private static void sendRawAndAwaitClose(int length, byte[] bytes) throws Exception {
        latestListener = null;
        try (Socket socket = open()) {
            RecordingListener listener = awaitListener();
            writeFrame(socket, length, bytes);
            listener.closed.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertThat(listener.received.isDone()).isFalse();
        }
    }

    private static RecordingListener awaitListener() throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (latestListener == null && System.nanoTime() < deadline) {
            Thread.sleep(1);
        }
        RecordingListener listener = latestListener;
        listener.opened.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        return listener;
    }

    private static Socket open() throws IOException {
        latestListener = null;
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(address.host(), address.port()));
        return socket;
    }

    private static void writeFrame(Socket socket, int length, byte[] bytes) throws IOException {
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        out.writeInt(length);
        out.write(bytes);
        out.flush();
    }

    private static FrameEndpoints endpoints(long idleTimeoutMillis) {
        return FrameEndpoints.create(eventLoops, TrafficCounter.zero(), idleTimeoutMillis);
    }

    private static final class RecordingListener implements FrameListener {
        private final CompletableFuture<FrameConnection> opened = new CompletableFuture<>();
        private final CompletableFuture<Frame> received = new CompletableFuture<>();
        private final CompletableFuture<Void> closed = new CompletableFuture<>();

        @Override
        public void opened(FrameConnection connection) {
            opened.complete(connection);
        }

        @Override
        public void received(FrameConnection connection, Frame frame) {
            received.complete(frame);
        }

        @Override
        public void closed(FrameConnection connection) {
            closed.complete(null);
        }
    }
}
