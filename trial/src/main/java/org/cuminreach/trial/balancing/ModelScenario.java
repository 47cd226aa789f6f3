package org.cuminreach.trial.balancing;

/**
 * What a model is put through.
 *
 * @param name what the table calls it
 * @param targets targets of the service
 * @param dataCentres data centres they are spread over
 * @param slots calls that each runs at once
 * @param load rate of calls as a share of what all targets can run
 * @param skew share of calls that enter at the first node on top of its even share
 * @param fault what goes wrong
 * @param scope where it goes wrong
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
    /** Which targets a trouble meets. */
    enum FaultScope {
        /** One target. */
        LAST_TARGET,
        /** Every target of one data centre, whose callers go elsewhere. */
        LAST_DATA_CENTRE,
        /** Every target. */
        ALL
    }

    static ModelScenario fjordhest(String name, double load, TargetFault trouble) {
        return new ModelScenario(name, 6, 3, 9, load, 0, trouble, FaultScope.LAST_TARGET);
    }

    static ModelScenario himal(String name, double load, TargetFault trouble) {
        return new ModelScenario(name, 5, 4, 6, load, 0, trouble, FaultScope.LAST_TARGET);
    }

    ModelScenario withSkew(double share) {
        return new ModelScenario(name, targets, dataCentres, slots, load, share, fault, scope);
    }

    ModelScenario withScope(FaultScope newReach) {
        return new ModelScenario(name, targets, dataCentres, slots, load, skew, fault, newReach);
    }
}
