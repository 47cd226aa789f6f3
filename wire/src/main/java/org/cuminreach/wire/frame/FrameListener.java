package org.cuminreach.wire.frame;

import org.cuminreach.wire.MalformedFrameException;
import org.cuminreach.wire.generated.Frame;

/** Receives the events of a connection; called on the event loop of the connection. */
public interface FrameListener {
    /**
     * Called when the connection is open.
     *
     * @param connection the connection
     */
    void opened(FrameConnection connection);

    /**
     * Called for each received frame.
     *
     * @param connection the connection
     * @param frame the frame
     * @throws MalformedFrameException when the frame is invalid on this connection, which is then
     *     closed
     */
    void received(FrameConnection connection, Frame frame) throws MalformedFrameException;

    /**
     * Called when the connection is closed, by either end or by the idle timeout.
     *
     * @param connection the connection
     */
    void closed(FrameConnection connection);
}
