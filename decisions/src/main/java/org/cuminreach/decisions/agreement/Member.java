package org.cuminreach.decisions.agreement;

import org.cuminreach.settings.Address;

/**
 * One replica of the log.
 *
 * @param id identity, made with the replica's data folder and never used again after its loss
 * @param address where other replicas reach it
 * @param voter false for a learner, which receives the log but neither votes nor counts
 */
public record Member(String id, Address address, boolean voter) {}
