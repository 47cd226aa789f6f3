package org.cuminreach.node.settings;

import java.util.List;
import java.util.Optional;
import org.cuminreach.decisions.admission.LinkRate;
import org.cuminreach.decisions.membership.TargetPhase;
import org.cuminreach.decisions.routing.LoadBalancingPolicy;
import org.cuminreach.runtime.log.LogSettings;
import org.cuminreach.settings.Address;
import org.cuminreach.settings.CheckedObject;
import org.cuminreach.settings.DistinctAddresses;
import org.cuminreach.settings.MeshBounds;

/**
 * Settings of a node process.
 *
 * @param name name of the node, unique in the mesh
 * @param dataCentre data centre that it runs in
 * @param callerAddress address on which it accepts HTTP calls from callers
 * @param inboundAddress address on which it accepts calls to its target from other nodes
 * @param administrationAddress address that serves its metrics and health by HTTP
 * @param controls addresses of the control processes
 * @param target the target next to it; when absent, the target registers by heartbeats
 * @param costlyLinks whether traffic between data centres is costly
 * @param link rate of the VM's link
 * @param shutdownDelayMillis time for which a stopping node still accepts new calls, in
 *     milliseconds; shortly before it ends, only calls whose deadline is before the end of the stop
 * @param shutdownTimeoutMillis maximum time that a graceful stop waits for calls in progress, in
 *     milliseconds
 * @param bounds bounds that hold for the whole mesh
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
        boolean costlyLinks,
        LinkRate link,
        long shutdownDelayMillis,
        long shutdownTimeoutMillis,
        MeshBounds bounds,
        LogSettings log) {
    private static final int MAX_SLOTS = 10_000;
    private static final long MAX_LINK_KILOBITS_PER_SECOND = 1_000_000_000;
    private static final long DEFAULT_SHUTDOWN_DELAY_MILLIS = 500;
    private static final long DEFAULT_SHUTDOWN_TIMEOUT_MILLIS = 30_000;
    private static final long MAX_SHUTDOWN_MILLIS = 600_000;

    /**
     * A target that the settings define.
     *
     * @param service name of its service
     * @param version its version
     * @param address address on which it serves HTTP
     * @param slots calls that it runs concurrently
     */
    public record Target(String service, String version, Address address, int slots) {}

    /**
     * Returns the target that the settings define.
     *
     * @return the target in phase ready, or empty when it registers by heartbeats
     */
    public Optional<TargetDescription> configuredTarget() {
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
     * Returns the load balancing policy.
     *
     * @return the policy that fits the cost of links between data centres
     */
    public LoadBalancingPolicy loadBalancingPolicy() {
        return costlyLinks
                ? LoadBalancingPolicy.forCostlyLinks()
                : LoadBalancingPolicy.forCheapLinks();
    }

    /** Makes an immutable copy of the list. */
    public NodeSettings {
        controls = List.copyOf(controls);
    }

    /**
     * Reads the settings of a node.
     *
     * @param object JSON object of the settings file
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
                        LinkRate.ofKilobitsPerSecond(
                                object.number(
                                        "linkKilobitsPerSecond",
                                        0,
                                        0,
                                        MAX_LINK_KILOBITS_PER_SECOND)),
                        object.number(
                                "leaveMillis",
                                DEFAULT_SHUTDOWN_DELAY_MILLIS,
                                0,
                                MAX_SHUTDOWN_MILLIS),
                        object.number(
                                "stopMillis",
                                DEFAULT_SHUTDOWN_TIMEOUT_MILLIS,
                                0,
                                MAX_SHUTDOWN_MILLIS),
                        MeshBounds.read(object),
                        LogSettings.read(object));
        settings.checkDistinctAddresses(object);
        return settings;
    }

    private static Target readTarget(CheckedObject object) {
        return new Target(
                object.name("service"),
                object.name("version"),
                object.address("address"),
                (int) object.number("slots", 1, MAX_SLOTS));
    }

    private void checkDistinctAddresses(CheckedObject object) {
        DistinctAddresses distinct = DistinctAddresses.of(object);
        distinct.with("callerAddress", callerAddress)
                .with("inboundAddress", inboundAddress)
                .with("administrationAddress", administrationAddress);
        target.ifPresent(known -> distinct.with("target.address", known.address()));
    }
}
