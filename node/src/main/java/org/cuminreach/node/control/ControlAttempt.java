package org.cuminreach.node.control;

import java.util.Optional;
import org.cuminreach.settings.Address;
import org.cuminreach.wire.MalformedFrameException;
import org.cuminreach.wire.frame.FrameConnection;
import org.cuminreach.wire.frame.FrameListener;
import org.cuminreach.wire.generated.Frame;

/**
 * An attempt to get a session with a control: the dial, and the connection that it opens. Passes
 * the events of the connection on to the session.
 */
final class ControlAttempt implements FrameListener {
    private final ControlSession session;
    private final Address control;
    private final boolean redirected;
    private final long startMillis;
    private volatile Optional<FrameConnection> connection = Optional.empty();
    private volatile Optional<Long> requestedDelayMillis = Optional.empty();
    private volatile boolean redirecting;

    ControlAttempt(ControlSession session, Address control, boolean redirected, long startMillis) {
        this.session = session;
        this.control = control;
        this.redirected = redirected;
        this.startMillis = startMillis;
    }

    Address control() {
        return control;
    }

    /** Tells whether another control has redirected the node to this one. */
    boolean isRedirected() {
        return redirected;
    }

    long startMillis() {
        return startMillis;
    }

    /** Returns the connection, once it is open. */
    Optional<FrameConnection> connection() {
        return connection;
    }

    /** Records that this control has redirected the node, to a nearer one if there is one. */
    void recordRedirect(long comeBackMillis, boolean hasNearer) {
        requestedDelayMillis = Optional.of(comeBackMillis);
        redirecting = hasNearer;
    }

    /** Returns the delay before the next attempt that this control has requested. */
    Optional<Long> requestedDelayMillis() {
        return requestedDelayMillis;
    }

    /** Tells whether this control has redirected the node to a nearer one. */
    boolean isRedirecting() {
        return redirecting;
    }

    void close() {
        connection.ifPresent(FrameConnection::close);
    }

    @Override
    public void opened(FrameConnection opened) {
        connection = Optional.of(opened);
        session.onOpened(this, opened);
    }

    @Override
    public void received(FrameConnection from, Frame frame) throws MalformedFrameException {
        session.onReceived(this, from, frame);
    }

    @Override
    public void closed(FrameConnection closedConnection) {
        session.onClosed(this);
    }
}
