package org.cuminreach.trial.mesh;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.stream.Collectors;
import org.cuminreach.settings.Address;

/** Writes the settings files and documents of a trial. */
public final class MeshFiles {
    private static final int ROLLOUT_DEADLINE_SECONDS = 40;

    private final Path folder;
    private final MeshPlan plan;
    private final BiFunction<MeshPlan.Control, MeshPlan.Control, Address> controlAddresses;

    private MeshFiles(
            Path folder,
            MeshPlan plan,
            BiFunction<MeshPlan.Control, MeshPlan.Control, Address> controlAddresses) {
        this.folder = folder;
        this.plan = plan;
        this.controlAddresses = controlAddresses;
    }

    /**
     * Returns files for controls that connect to each other directly.
     *
     * @param folder folder of the files
     * @param plan controls and targets of the mesh
     * @return the files
     */
    public static MeshFiles of(Path folder, MeshPlan plan) {
        return new MeshFiles(folder, plan, (from, to) -> to.replicaAddress());
    }

    /**
     * Returns files for controls that connect to each other at given addresses, such as those of
     * relays.
     *
     * @param folder folder of the files
     * @param plan controls and targets of the mesh
     * @param controlAddresses the address at which the first control reaches the second
     * @return the files
     */
    public static MeshFiles withControlAddresses(
            Path folder,
            MeshPlan plan,
            BiFunction<MeshPlan.Control, MeshPlan.Control, Address> controlAddresses) {
        return new MeshFiles(
                folder,
                plan,
                (from, to) ->
                        from.equals(to) ? to.replicaAddress() : controlAddresses.apply(from, to));
    }

    /**
     * Writes the settings of a control.
     *
     * @param control the control
     * @return the file
     * @throws IOException if it cannot be written
     */
    public Path control(MeshPlan.Control control) throws IOException {
        String peers =
                plan.controls().stream()
                        .map(
                                peer ->
                                        "{\"name\": \"%s\", \"replicaAddress\": \"%s\"}"
                                                .formatted(
                                                        peer.name(),
                                                        controlAddresses.apply(control, peer)))
                        .collect(Collectors.joining(", "));
        String text =
                """
                {
                  "name": "%s", "dataCentre": "%s", "dataFolder": "%s",
                  "replicaAddress": "%s", "nodeAddress": "%s",
                  "operatorAddress": "%s", "administrationAddress": "%s",
                  "controls": [%s]
                }
                """
                        .formatted(
                                control.name(),
                                control.dataCentre(),
                                folder.resolve(control.name() + "-data"),
                                control.replicaAddress(),
                                control.nodeAddress(),
                                control.operatorAddress(),
                                control.administrationAddress(),
                                peers);
        return write(control.name() + ".json", text);
    }

    /**
     * Writes the settings of a node.
     *
     * @param target the target next to the node
     * @return the file
     * @throws IOException if it cannot be written
     */
    public Path node(MeshPlan.Target target) throws IOException {
        String controls =
                plan.controls().stream()
                        .map(control -> "\"" + control.nodeAddress() + "\"")
                        .collect(Collectors.joining(", "));
        String text =
                """
                {
                  "name": "%s", "dataCentre": "%s",
                  "callerAddress": "%s", "inboundAddress": "%s", "administrationAddress": "%s",
                  "controls": [%s],
                  "target": {"service": "%s", "version": "%s", "address": "%s", "slots": %d},
                  "stopMillis": 5000
                }
                """
                        .formatted(
                                target.name(),
                                target.dataCentre(),
                                target.callerAddress(),
                                target.inboundAddress(),
                                target.administrationAddress(),
                                controls,
                                target.service(),
                                target.version(),
                                target.targetAddress(),
                                target.slots());
        return write(target.name() + ".json", text);
    }

    /**
     * Writes the settings of the stand-ins of a service.
     *
     * @param service name of the service
     * @return the file
     * @throws IOException if it cannot be written
     */
    public Path standIns(String service) throws IOException {
        String targets =
                plan.targets().stream()
                        .filter(target -> target.service().equals(service))
                        .map(MeshFiles::standIn)
                        .collect(Collectors.joining(",\n  "));
        return write("stand-in-" + service + ".json", "{\"targets\": [\n  " + targets + "]}\n");
    }

    /**
     * Writes a document with a route for each service, on the host {@code SERVICE.example}.
     *
     * @param name name of the file
     * @param rollingOut services with a rollout from version 1 to version 2
     * @param priority rollout priority
     * @return the file
     * @throws IOException if it cannot be written
     */
    public Path document(String name, Set<String> rollingOut, String priority) throws IOException {
        String doneBy = Instant.now().plusSeconds(ROLLOUT_DEADLINE_SECONDS).toString();
        String services =
                plan.services().stream()
                        .map(service -> service(service, rollingOut.contains(service), doneBy))
                        .collect(Collectors.joining(",\n    "));
        String meshRoutes =
                plan.services().stream()
                        .map(MeshFiles::route)
                        .collect(Collectors.joining(",\n    "));
        String text =
                """
                {
                  "services": [
                    %s],
                  "routes": [
                    %s],
                  "rolloutPriority": "%s"
                }
                """
                        .formatted(services, meshRoutes, priority);
        return write(name, text);
    }

    private static String service(String service, boolean rollsOut, String doneBy) {
        String rollout =
                rollsOut
                        ? ", \"rollout\": {\"version\": \"2\", \"doneBy\": \"" + doneBy + "\"}"
                        : "";
        return "{\"name\": \"%s\", \"version\": \"1\"%s}".formatted(service, rollout);
    }

    private static String route(String service) {
        return "{\"name\": \"%s\", \"host\": \"%s.example\", \"service\": \"%s\"}"
                .formatted(service, service, service);
    }

    private static String standIn(MeshPlan.Target target) {
        return ("{\"address\": \"%s\", \"service\": \"%s\", \"version\": \"%s\","
                        + " \"serviceMillis\": %d, \"failingPerMille\": %d}")
                .formatted(
                        target.targetAddress(),
                        target.service(),
                        target.version(),
                        target.serviceMillis(),
                        target.failuresPerMille());
    }

    private Path write(String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name), text);
    }
}
