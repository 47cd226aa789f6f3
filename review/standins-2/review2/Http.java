package review2;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Messages of HTTP/1.1 over plain sockets, so that the cases control each byte and each close. */
final class Http {
    /**
     * A message.
     *
     * @param startLine request line or status line
     * @param headers headers by lower-case name
     * @param body complete body
     */
    record Message(String startLine, Map<String, String> headers, byte[] body) {
        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** A connection of a client. */
    static final class Connection implements AutoCloseable {
        final Socket socket;
        private final InputStream in;

        Connection(String host, int port) throws IOException {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(InetAddress.getByName(host), port), 1_000);
            in = new java.io.BufferedInputStream(socket.getInputStream());
        }

        void send(String head, byte[] body) throws IOException {
            socket.getOutputStream().write(bytes(head));
            socket.getOutputStream().write(body);
            socket.getOutputStream().flush();
        }

        /** Reads an answer, or returns empty when the connection ends before one is complete. */
        Optional<Message> read(int timeoutMillis) throws IOException {
            socket.setSoTimeout(Math.max(1, timeoutMillis));
            return Http.read(in, true);
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException ignored) {
                // The connection is given up in any case.
            }
        }
    }

    private Http() {}

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Sends one request on a connection of its own and returns the answer. */
    static Message exchange(String host, int port, String head, byte[] body, int timeoutMillis)
            throws IOException {
        try (Connection connection = new Connection(host, port)) {
            connection.send(head, body);
            return connection
                    .read(timeoutMillis)
                    .orElseThrow(() -> new EOFException("no complete answer"));
        }
    }

    /** Reads a message; empty when the stream ends before it begins or before it is complete. */
    static Optional<Message> read(InputStream in, boolean isAnswer) throws IOException {
        Optional<String> head = readHead(in);
        return head.isEmpty() ? Optional.empty() : readBody(head.get(), in, isAnswer);
    }

    /** Reads the rest of a message whose head has been read. */
    static Optional<Message> readBody(String head, InputStream in, boolean isAnswer)
            throws IOException {
        String[] lines = head.split("\r\n");
        Map<String, String> headers = new TreeMap<>();
        for (int index = 1; index < lines.length; index++) {
            int colon = lines[index].indexOf(':');
            headers.put(
                    lines[index].substring(0, colon).toLowerCase(Locale.ROOT),
                    lines[index].substring(colon + 1).strip());
        }
        if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            return readChunks(in).map(body -> new Message(lines[0], headers, body));
        }
        if (isAnswer && !headers.containsKey("content-length")) {
            return Optional.of(new Message(lines[0], headers, in.readAllBytes()));
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        return body.length < length
                ? Optional.empty()
                : Optional.of(new Message(lines[0], headers, body));
    }

    /** Reads the lines up to the empty one, without it. */
    static Optional<String> readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int ends = 0;
        while (ends < 4) {
            int next = in.read();
            if (next < 0) {
                return Optional.empty();
            }
            head.write(next);
            ends = next == (ends % 2 == 0 ? '\r' : '\n') ? ends + 1 : next == '\r' ? 1 : 0;
        }
        return Optional.of(head.toString(StandardCharsets.ISO_8859_1).strip());
    }

    private static Optional<byte[]> readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            StringBuilder line = new StringBuilder();
            for (int next = in.read(); next != '\n'; next = in.read()) {
                if (next < 0) {
                    return Optional.empty();
                }
                line.append((char) next);
            }
            int length = Integer.parseInt(line.toString().strip().split(";")[0], 16);
            byte[] chunk = in.readNBytes(length + 2);
            if (chunk.length < length + 2) {
                return Optional.empty();
            }
            if (length == 0) {
                return Optional.of(body.toByteArray());
            }
            body.write(chunk, 0, length);
        }
    }
}
