package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** HTTP/1.1 messages, read and written one at a time on a blocking connection. */
final class Http {
    /** A message: its first line, headers with names in lower case, and body. */
    record Message(String start, Map<String, String> headers, byte[] body) {
        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private Http() {}

    /** Sends one request on a new connection. Throws IOException when no whole answer comes. */
    static Message exchange(InetSocketAddress to, String head, String body, int timeoutMillis)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(to, 1_000);
            socket.setSoTimeout(timeoutMillis);
            send(socket, head, body);
            return read(socket.getInputStream());
        }
    }

    static void send(Socket socket, String head, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String length = bytes.length > 0 || head.startsWith("POST") ? "Content-Length: " + bytes.length + "\r\n" : "";
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write((head + "\r\n" + length + "\r\n").getBytes(StandardCharsets.UTF_8));
        out.write(bytes);
        socket.getOutputStream().write(out.toByteArray());
        socket.getOutputStream().flush();
    }

    /** Reads a message whose body has a length, is chunked, or is missing. */
    static Message read(InputStream in) throws IOException {
        String start = line(in);
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).strip().toLowerCase(), line.substring(colon + 1).strip());
        }
        byte[] body = new byte[0];
        if (headers.containsKey("content-length")) {
            body = whole(in, Integer.parseInt(headers.get("content-length")));
        } else if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream chunks = new ByteArrayOutputStream();
            for (int size = Integer.parseInt(line(in), 16); size > 0; size = Integer.parseInt(line(in), 16)) {
                chunks.write(whole(in, size));
                line(in);
            }
            line(in);
            body = chunks.toByteArray();
        }
        return new Message(start, headers, body);
    }

    private static byte[] whole(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new IOException("the message ended early");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("the connection was closed");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }
}
