package org.cuminreach.trial.standin;

import org.cuminreach.settings.Address;
import org.cuminreach.settings.CheckedObject;

/**
 * The behaviour of a stand-in target.
 *
 * @param address address that it listens on
 * @param service name of its service
 * @param version its version
 * @param serviceMillis running time of a call, in milliseconds
 * @param failuresPerMille share of calls that it answers with status 500, per mille
 */
public record Behaviour(
        Address address, String service, String version, int serviceMillis, int failuresPerMille) {
    private static final int MAX_SERVICE_MILLIS = 60_000;
    private static final int ALL_PER_MILLE = 1_000;

    /**
     * Reads a behaviour.
     *
     * @param object its settings
     * @return the behaviour
     */
    public static Behaviour read(CheckedObject object) {
        return new Behaviour(
                object.address("address"),
                object.name("service"),
                object.name("version"),
                (int) object.number("serviceMillis", 0, MAX_SERVICE_MILLIS),
                (int) object.number("failingPerMille", 0, 0, ALL_PER_MILLE));
    }
}
