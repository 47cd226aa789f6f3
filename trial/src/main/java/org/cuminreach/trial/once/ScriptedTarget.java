package org.cuminreach.trial.once;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.cuminreach.settings.Address;

/** A target on plain sockets whose script controls every byte of its answers. */
public final class ScriptedTarget implements AutoCloseable {
    /** Answers the requests of a target. */
    @FunctionalInterface
    public interface Script {
        /**
         * Answers a request; the socket is closed if this method throws an exception.
         *
         * @param head request line and headers
         * @param body the body
         * @param socket connection to answer on
         * @throws IOException to close the socket
         * @throws InterruptedException if interrupted while waiting
         */
        void answer(String head, String body, Socket socket)
                throws IOException, InterruptedException;
    }

    private static final int BACKLOG_CONNECTIONS = 50;
    private static final String LENGTH_HEADER = "content-length:";

    private final int port;
    private final Script script;
    private final boolean readsBodies;
    private final List<String> requestHeads = new CopyOnWriteArrayList<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final AtomicInteger closedByPeer = new AtomicInteger();
    private volatile ServerSocket serverSocket;
    private volatile boolean closed;

    private ScriptedTarget(ServerSocket listening, Script script, boolean readsBodies) {
        this.port = listening.getLocalPort();
        this.serverSocket = listening;
        this.script = script;
        this.readsBodies = readsBodies;
    }

    /**
     * Starts a target on a free port.
     *
     * @param script answers its requests
     * @return the running target
     * @throws IOException if it cannot listen
     */
    public static ScriptedTarget start(Script script) throws IOException {
        return start(script, true);
    }

    /**
     * Starts a target on a free port that answers a request before it has read its body.
     *
     * @param script answers its requests, whose bodies it is given as empty; must close the
     *     connection of a request with a body
     * @return the running target
     * @throws IOException if it cannot listen
     */
    public static ScriptedTarget startWithoutReadingBodies(Script script) throws IOException {
        return start(script, false);
    }

    private static ScriptedTarget start(Script script, boolean readsBodies) throws IOException {
        ScriptedTarget target = new ScriptedTarget(listen(0), script, readsBodies);
        Thread.ofVirtual().start(target::accept);
        return target;
    }

    private static ServerSocket listen(int port) throws IOException {
        return new ServerSocket(port, BACKLOG_CONNECTIONS, InetAddress.getLoopbackAddress());
    }

    /**
     * Ends like a process that crashes: closes the listening socket and all connections, and
     * listens again on the same port later.
     *
     * @param downMillis time until it listens again, in milliseconds
     * @throws IOException if a socket cannot be closed
     */
    public synchronized void crash(long downMillis) throws IOException {
        if (closed || serverSocket.isClosed()) {
            return;
        }
        closeSockets();
        Thread.ofVirtual().start(() -> restart(downMillis));
    }

    private void restart(long downMillis) {
        try {
            Thread.sleep(downMillis);
            synchronized (this) {
                if (closed) {
                    return;
                }
                serverSocket = listen(port);
            }
            accept();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Writes text without changes.
     *
     * @param socket connection to write to
     * @param text the text
     * @throws IOException if the connection is lost
     */
    public static void write(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /**
     * Writes a complete answer.
     *
     * @param socket connection to write to
     * @param status HTTP status
     * @param body body of the answer
     * @throws IOException if the connection is lost
     */
    public static void writeAnswer(Socket socket, int status, String body) throws IOException {
        write(
                socket,
                "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s"
                        .formatted(status, body.length(), body));
    }

    /**
     * Writes a part of an answer without changes and resets its connection later.
     *
     * @param socket connection to write to
     * @param text the part
     * @param delayMillis time until the reset, in milliseconds
     * @throws IOException if the connection is lost
     * @throws InterruptedException if interrupted while waiting
     */
    public static void writeAndReset(Socket socket, String text, long delayMillis)
            throws IOException, InterruptedException {
        write(socket, text);
        Thread.sleep(delayMillis);
        reset(socket);
    }

    /**
     * Resets a connection.
     *
     * @param socket the connection
     * @throws IOException if it cannot be closed
     */
    public static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /**
     * Returns the address that it listens on.
     *
     * @return the address
     */
    public Address address() {
        return new Address("127.0.0.1", port);
    }

    /**
     * Returns the request lines and headers that it received.
     *
     * @return one text for each request, in the order of arrival
     */
    public List<String> requestHeads() {
        return requestHeads;
    }

    /**
     * Returns the number of connections that it has accepted.
     *
     * @return number of connections, including closed ones
     */
    public int acceptedConnections() {
        return sockets.size();
    }

    /**
     * Returns the number of connections that the peer has closed or that have failed.
     *
     * @return number of these connections
     */
    public int closedByPeer() {
        return closedByPeer.get();
    }

    @Override
    public synchronized void close() throws IOException {
        closed = true;
        closeSockets();
    }

    private void closeSockets() throws IOException {
        serverSocket.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private void accept() {
        ServerSocket listening = serverSocket;
        while (!listening.isClosed()) {
            try {
                Socket socket = listening.accept();
                sockets.add(socket);
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException noLongerListening) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                String head = readHead(in);
                if (head.isEmpty()) {
                    closedByPeer.incrementAndGet();
                    return;
                }
                requestHeads.add(head);
                byte[] body = in.readNBytes(readsBodies ? contentLength(head) : 0);
                script.answer(head, new String(body, StandardCharsets.ISO_8859_1), socket);
            }
        } catch (IOException | InterruptedException connectionLost) {
            closedByPeer.incrementAndGet();
        }
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private static int contentLength(String head) {
        return head.lines()
                .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(LENGTH_HEADER))
                .mapToInt(line -> Integer.parseInt(line.substring(LENGTH_HEADER.length()).trim()))
                .findFirst()
                .orElse(0);
    }
}
