package org.cuminreach.node.control;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The attempts of a node to get a session with a control, and the one that has succeeded. When a
 * control does not welcome the node soon, another one is tried beside it: one without power does
 * not even refuse the connection. Thread-safe.
 */
final class ControlAttempts {
    /** One more than the controls that may be lost at the same time. */
    private static final int MAX_UNDECIDED = 3;

    private final Set<ControlAttempt> undecided = new LinkedHashSet<>();
    private Optional<ControlAttempt> welcomed = Optional.empty();
    private boolean stopped;

    /** Tells whether another attempt may start. */
    synchronized boolean mayStart() {
        return !stopped && welcomed.isEmpty() && undecided.size() < MAX_UNDECIDED;
    }

    synchronized void add(ControlAttempt attempt) {
        undecided.add(attempt);
    }

    synchronized boolean isUndecided(ControlAttempt attempt) {
        return undecided.contains(attempt);
    }

    /** Returns the attempts without an answer, oldest first. */
    synchronized List<ControlAttempt> undecided() {
        return List.copyOf(undecided);
    }

    /** Returns the attempt that has succeeded, while its connection is open. */
    synchronized Optional<ControlAttempt> welcomed() {
        return welcomed;
    }

    /**
     * Records a welcome.
     *
     * @return the other attempts, which are to be closed; empty when the attempt was given up
     */
    synchronized Optional<List<ControlAttempt>> recordWelcome(ControlAttempt attempt) {
        if (!undecided.remove(attempt)) {
            return Optional.empty();
        }
        welcomed = Optional.of(attempt);
        List<ControlAttempt> others = List.copyOf(undecided);
        undecided.clear();
        return Optional.of(others);
    }

    /** Records that an attempt or session has ended; returns whether it had not been given up. */
    synchronized boolean recordEnd(ControlAttempt attempt) {
        boolean wasWelcomed = welcomed.equals(Optional.of(attempt));
        if (wasWelcomed) {
            welcomed = Optional.empty();
        }
        return undecided.remove(attempt) || wasWelcomed;
    }

    /** Lets no further attempt start. */
    synchronized void stop() {
        stopped = true;
    }
}
