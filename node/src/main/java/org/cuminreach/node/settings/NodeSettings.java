package org.cuminreach.node.settings;

import java.util.List;
import java.util.Optional;
import org.cuminreach.decisions.membership.TargetPhase;
import org.cuminreach.decisions.routing.LoadBalancingPolicy;
import org.cuminreach.runtime.log.LogSettings;
import org.cuminreach.settings.Address;
import org.cuminreach.settings.CheckedObject;
import org.cuminreach.settings.DistinctAddresses;

/**
 * Settings of a node process.
 *
 * @param name name of the node, unique in the mesh
 * @param dataCentre where it runs
 * @param callerAddress where callers reach it by HTTP
 * @param inboundAddress where other nodes bring calls for its target
 * @param administrationAddress where its metrics and health are read by HTTP
 * @param controls addresses of the controls
 * @param target the target beside it; without one, the target describes itself to the node
 * @param dearCrossing whether bytes between data centres are dear
 * @param leaveMillis time for which a node that stops still takes new calls, in milliseconds
 * @param stopMillis longest time a planned stop waits for running calls, in milliseconds
 * @param log settings of the log
 */
public record NodeSettings(
        String name,
        String dataCentre,
        Address callerAddress,
        Address inboundAddress,
        Address administrationAddress,
        List<Address> controls,
        Optional<Target> target,
        boolean dearCrossing,
        long leaveMillis,
        long stopMillis,
        LogSettings log) {
    private static final int MOST_SLOTS = 10_000;
    private static final long DEFAULT_LEAVE_MILLIS = 500;
    private static final long DEFAULT_STOP_MILLIS = 30_000;
    private static final long LONGEST_STOP_MILLIS = 600_000;

    /**
     * The target beside the node.
     *
     * @param service name of its service
     * @param version its version
     * @param address where it answers HTTP
     * @param slots calls it runs at once
     */
    public record Target(String service, String version, Address address, int slots) {}

    /**
     * Returns the target that the settings name.
     *
     * @return the target, ready; or empty when it describes itself to the node
     */
    public Optional<TargetDescription> describedTarget() {
        return target.map(
                known ->
                        new TargetDescription(
                                name,
                                known.service(),
                                known.version(),
                                known.address(),
                                known.slots(),
                                TargetPhase.READY));
    }

    /**
     * Returns how calls are placed among targets.
     *
     * @return the placement that suits the price of crossings
     */
    public LoadBalancingPolicy placement() {
        return dearCrossing
                ? LoadBalancingPolicy.forCostlyLinks()
                : LoadBalancingPolicy.forCheapLinks();
    }

    /** Copies the list. */
    public NodeSettings {
        controls = List.copyOf(controls);
    }

    /**
     * Reads the settings.
     *
     * @param object the settings file
     * @return the settings
     */
    public static NodeSettings read(CheckedObject object) {
        if (!object.has("target")) {
            object.addFault("target", "is missing; an object is needed");
        }
        NodeSettings settings =
                new NodeSettings(
                        object.name("name"),
                        object.name("dataCentre"),
                        object.address("callerAddress"),
                        object.address("inboundAddress"),
                        object.address("administrationAddress"),
                        object.addresses("controls"),
                        object.object("target", NodeSettings::readTarget),
                        object.flag("dearCrossing", false),
                        object.number("leaveMillis", DEFAULT_LEAVE_MILLIS, 0, LONGEST_STOP_MILLIS),
                        object.number("stopMillis", DEFAULT_STOP_MILLIS, 0, LONGEST_STOP_MILLIS),
                        LogSettings.read(object));
        settings.refuseEqualAddresses(object);
        return settings;
    }

    private static Target readTarget(CheckedObject object) {
        return new Target(
                object.name("service"),
                object.name("version"),
                object.address("address"),
                (int) object.number("slots", 1, MOST_SLOTS));
    }

    private void refuseEqualAddresses(CheckedObject object) {
        DistinctAddresses distinct = DistinctAddresses.of(object);
        distinct.with("callerAddress", callerAddress)
                .with("inboundAddress", inboundAddress)
                .with("administrationAddress", administrationAddress);
        target.ifPresent(known -> distinct.with("target.address", known.address()));
    }
}
