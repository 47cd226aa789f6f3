package org.cuminreach.trial.balancing;

/**
 * Parameters of one run of the queueing model.
 *
 * @param name name in the printed table
 * @param targets number of targets of the service
 * @param dataCentres number of data centres over which the targets are spread
 * @param slots calls that each target runs at once
 * @param load rate of calls as a share of the capacity of all targets
 * @param skew share of calls that are all sent to the first node; the others are spread evenly
 * @param fault fault to inject
 * @param scope targets that the fault affects
 */
record ModelScenario(
        String name,
        int targets,
        int dataCentres,
        int slots,
        double load,
        double skew,
        TargetFault fault,
        FaultScope scope) {
    /** The targets that a fault affects. */
    enum FaultScope {
        /** The last target only. */
        LAST_TARGET,
        /** Every target of one data centre; its nodes receive no more calls. */
        LAST_DATA_CENTRE,
        /** Every target. */
        ALL
    }

    /** Creates a scenario of the size of the Fjordhest organisation. */
    static ModelScenario fjordhest(String name, double load, TargetFault fault) {
        return new ModelScenario(name, 6, 3, 9, load, 0, fault, FaultScope.LAST_TARGET);
    }

    /** Creates a scenario of the size of the Himal organisation. */
    static ModelScenario himal(String name, double load, TargetFault fault) {
        return new ModelScenario(name, 5, 4, 6, load, 0, fault, FaultScope.LAST_TARGET);
    }

    ModelScenario withSkew(double share) {
        return new ModelScenario(name, targets, dataCentres, slots, load, share, fault, scope);
    }

    ModelScenario withScope(FaultScope newReach) {
        return new ModelScenario(name, targets, dataCentres, slots, load, skew, fault, newReach);
    }
}
