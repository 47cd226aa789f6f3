package org.cuminreach.trial.mesh;

import java.util.ArrayList;
import java.util.List;
import org.cuminreach.settings.Address;

/** Who runs where in a trial: names, addresses and behaviours. */
public final class MeshPlan {
    private static final String LOOPBACK = "127.0.0.1";

    /**
     * A control.
     *
     * @param name its name
     * @param dataCentre where it runs
     * @param replicaAddress its address for other controls
     * @param nodeAddress its address for nodes
     * @param operatorAddress its address for operators
     * @param administrationAddress its administration address
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
     * @param dataCentre where both run
     * @param service name of the service
     * @param version version of the target
     * @param slots calls that the target runs at once
     * @param serviceMillis time it takes for a call, in milliseconds
     * @param failuresPerMille share of calls that it fails
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
     * @param dataCentre where it runs
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
     * @param dataCentre where both run
     * @param service name of the service
     * @param version version of the target
     * @param slots calls that the target runs at once
     * @param serviceMillis time it takes for a call, in milliseconds
     * @param failingPerMille share of calls that it fails
     * @return this plan
     */
    public MeshPlan addTarget(
            String dataCentre,
            String service,
            String version,
            int slots,
            int serviceMillis,
            int failingPerMille) {
        targets.add(
                new Target(
                        dataCentre + "-" + service + "-" + version,
                        dataCentre,
                        service,
                        version,
                        slots,
                        serviceMillis,
                        failingPerMille,
                        nextAddress(),
                        nextAddress(),
                        nextAddress(),
                        nextAddress()));
        return this;
    }

    /**
     * Takes a free address that no process of the plan uses.
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
     * @return names, each once
     */
    public List<String> services() {
        return targets.stream().map(Target::service).distinct().toList();
    }
}
