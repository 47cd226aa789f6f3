package org.cuminreach.trial.distribution;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import org.cuminreach.settings.Address;
import org.cuminreach.wire.MalformedFrameException;
import org.cuminreach.wire.frame.FrameCodec;
import org.cuminreach.wire.generated.Frame;
import org.cuminreach.wire.generated.Heartbeat;
import org.cuminreach.wire.generated.NodeHello;

/** A node that sends heartbeats but does not read from its connection until asked to. */
final class SlowNode implements AutoCloseable {
    private static final int RECEIVE_BYTES = 8 * 1024;

    private final Socket socket = new Socket();

    private SlowNode() {}

    static SlowNode connect(Address control) throws IOException {
        SlowNode node = new SlowNode();
        node.socket.setReceiveBufferSize(RECEIVE_BYTES);
        node.socket.connect(new InetSocketAddress(control.host(), control.port()));
        node.send(Frame.nodeHello(new NodeHello("slow", 1, "nidaros", 0)));
        return node;
    }

    void sendHeartbeat() throws IOException {
        send(Frame.heartbeat(new Heartbeat(0)));
    }

    /** Reads until a version has arrived; returns the number of configuration deltas received. */
    int readUntil(long version) throws IOException, MalformedFrameException {
        DataInputStream input = new DataInputStream(socket.getInputStream());
        int deltas = 0;
        long reached = 0;
        while (reached < version) {
            byte[] bytes = new byte[input.readInt()];
            input.readFully(bytes);
            Frame frame = FrameCodec.decode(bytes);
            if (frame.isSetConfigurationDelta()) {
                deltas++;
                reached = frame.getConfigurationDelta().getVersion();
            }
            sendHeartbeat();
        }
        return deltas;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    private void send(Frame frame) throws IOException {
        byte[] bytes = FrameCodec.encode(frame);
        DataOutputStream output = new DataOutputStream(socket.getOutputStream());
        output.writeInt(bytes.length);
        output.write(bytes);
        output.flush();
    }
}
