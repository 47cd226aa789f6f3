package org.cuminreach.control.replica;

/** Is notified when a replica cannot continue and the process has to stop. */
@FunctionalInterface
public interface ReplicaFailureListener {
    /**
     * Called when a sync failed or an invariant is violated. The replica has stopped.
     *
     * @param failure the cause
     */
    void onFailure(Exception failure);
}
