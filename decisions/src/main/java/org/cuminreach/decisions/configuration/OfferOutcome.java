package org.cuminreach.decisions.configuration;

import java.util.List;
import org.cuminreach.settings.Fault;

/** What a node did with a configuration that its control offered. */
public sealed interface OfferOutcome {
    /**
     * It is in force.
     *
     * @param version its version
     * @param previousVersion version that was in force before
     */
    record Applied(long version, long previousVersion) implements OfferOutcome {}

    /**
     * It is not newer than the one in force, which stays.
     *
     * @param version version in force
     */
    record NotNewer(long version) implements OfferOutcome {}

    /**
     * It is not whole; the one in force stays.
     *
     * @param version version in force
     * @param faults everything that is missing
     */
    record Refused(long version, List<Fault> faults) implements OfferOutcome {
        /** Copies the list. */
        public Refused {
            faults = List.copyOf(faults);
        }
    }

    /**
     * It cannot be made from the one in force, which stays until the whole arrives.
     *
     * @param version version in force
     * @param reason why not
     */
    record NeedsFullConfiguration(long version, String reason) implements OfferOutcome {}
}
