package org.cuminreach.trial.mesh;

import java.util.ArrayList;
import java.util.List;
import org.cuminreach.settings.Address;

/** The controls and targets of a trial: names, data centres, addresses and behaviours. */
public final class MeshPlan {
    private static final String LOOPBACK = "127.0.0.1";

    /**
     * A control.
     *
     * @param name its name
     * @param dataCentre data centre of the control
     * @param replicaAddress address for other controls
     * @param nodeAddress address for nodes
     * @param operatorAddress address for operators
     * @param administrationAddress administration address
     */
    public record Control(
            String name,
            String dataCentre,
            Address replicaAddress,
            Address nodeAddress,
            Address operatorAddress,
            Address administrationAddress) {}

    /**
     * A target with its node.
     *
     * @param name name of the node
     * @param dataCentre data centre of the target and its node
     * @param service name of the service
     * @param version version of the target
     * @param slots maximum number of calls that run at once
     * @param serviceMillis running time of a call, in milliseconds
     * @param failuresPerMille share of calls that fail, per mille
     * @param callerAddress the node's address for callers
     * @param inboundAddress the node's address for other nodes
     * @param administrationAddress the node's administration address
     * @param targetAddress the target's address
     */
    public record Target(
            String name,
            String dataCentre,
            String service,
            String version,
            int slots,
            int serviceMillis,
            int failuresPerMille,
            Address callerAddress,
            Address inboundAddress,
            Address administrationAddress,
            Address targetAddress) {}

    private final List<Control> controls = new ArrayList<>();
    private final List<Target> targets = new ArrayList<>();
    private int nextPort;

    private MeshPlan(int firstPort) {
        nextPort = firstPort;
    }

    /**
     * Returns a plan without processes.
     *
     * @param firstPort first of the ports to be used
     * @return an empty plan
     */
    public static MeshPlan empty(int firstPort) {
        return new MeshPlan(firstPort);
    }

    /**
     * Adds a control.
     *
     * @param name its name
     * @param dataCentre data centre of the control
     * @return this plan
     */
    public MeshPlan addControl(String name, String dataCentre) {
        controls.add(
                new Control(
                        name,
                        dataCentre,
                        nextAddress(),
                        nextAddress(),
                        nextAddress(),
                        nextAddress()));
        return this;
    }

    /**
     * Adds a target with its node.
     *
     * @param dataCentre data centre of the target and its node
     * @param service name of the service
     * @param version version of the target
     * @param slots maximum number of calls that run at once
     * @param serviceMillis running time of a call, in milliseconds
     * @param failuresPerMille share of calls that fail, per mille
     * @return this plan
     */
    public MeshPlan addTarget(
            String dataCentre,
            String service,
            String version,
            int slots,
            int serviceMillis,
            int failuresPerMille) {
        targets.add(
                new Target(
                        dataCentre + "-" + service + "-" + version,
                        dataCentre,
                        service,
                        version,
                        slots,
                        serviceMillis,
                        failuresPerMille,
                        nextAddress(),
                        nextAddress(),
                        nextAddress(),
                        nextAddress()));
        return this;
    }

    /**
     * Returns the next address that no process of the plan uses.
     *
     * @return the address
     */
    public Address nextAddress() {
        Address address = new Address(LOOPBACK, nextPort);
        nextPort++;
        return address;
    }

    /**
     * Returns the controls.
     *
     * @return controls in the order of their addition
     */
    public List<Control> controls() {
        return List.copyOf(controls);
    }

    /**
     * Returns the targets.
     *
     * @return targets in the order of their addition
     */
    public List<Target> targets() {
        return List.copyOf(targets);
    }

    /**
     * Returns the services.
     *
     * @return names without duplicates
     */
    public List<String> services() {
        return targets.stream().map(Target::service).distinct().toList();
    }
}
