package org.cuminreach.decisions.agreement;

import org.cuminreach.settings.Address;

/**
 * A member of the Raft group.
 *
 * @param id identity, created with the replica's data folder and not reused once that is lost
 * @param address address for connections from other replicas
 * @param voter false for a learner, which receives the log but does not count towards a quorum
 */
public record Member(String id, Address address, boolean voter) {}
