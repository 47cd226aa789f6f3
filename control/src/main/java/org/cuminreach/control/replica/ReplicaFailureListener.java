package org.cuminreach.control.replica;

/** Hears that a replica cannot go on; the process has to stop. */
@FunctionalInterface
public interface ReplicaFailureListener {
    /**
     * The disk did not sync, or an invariant is broken. The replica does nothing more.
     *
     * @param failure what happened
     */
    void onFailure(Exception failure);
}
