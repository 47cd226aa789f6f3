package org.cuminreach.decisions.configuration;

import java.util.List;
import org.cuminreach.settings.Fault;

/** Outcome of offering a configuration to a node's {@link ConfigurationHolder}. */
public sealed interface OfferOutcome {
    /**
     * The offered configuration was applied.
     *
     * @param version version that was applied
     * @param previousVersion version that was active before
     */
    record Applied(long version, long previousVersion) implements OfferOutcome {}

    /**
     * The offered configuration is not newer than the active one, which stays.
     *
     * @param version active version
     */
    record NotNewer(long version) implements OfferOutcome {}

    /**
     * The offered configuration is invalid; the active one stays.
     *
     * @param version active version
     * @param faults the faults found
     */
    record Refused(long version, List<Fault> faults) implements OfferOutcome {
        /** Makes a defensive copy of the list. */
        public Refused {
            faults = List.copyOf(faults);
        }
    }

    /**
     * The delta does not apply to the active configuration, which stays until a full one arrives.
     *
     * @param version active version
     * @param reason reason of the mismatch
     */
    record NeedsFullConfiguration(long version, String reason) implements OfferOutcome {}
}
