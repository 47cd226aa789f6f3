package org.cuminreach.wire.frame;

import org.cuminreach.wire.MalformedFrameException;
import org.cuminreach.wire.generated.Frame;

/** Hears what happens on one connection; called by the connection's own thread. */
public interface FrameListener {
    /**
     * The connection is open.
     *
     * @param connection the connection
     */
    void opened(FrameConnection connection);

    /**
     * A frame arrived.
     *
     * @param connection the connection
     * @param frame the frame
     * @throws MalformedFrameException when the frame makes no sense here; the connection is closed
     */
    void received(FrameConnection connection, Frame frame) throws MalformedFrameException;

    /**
     * The connection is closed, by either end or by silence.
     *
     * @param connection the connection
     */
    void closed(FrameConnection connection);
}
