package org.cuminreach.control;

import java.nio.file.Path;
import java.util.List;
import org.cuminreach.runtime.log.LogSettings;
import org.cuminreach.settings.Address;
import org.cuminreach.settings.CheckedObject;
import org.cuminreach.settings.DistinctAddresses;
import org.cuminreach.settings.MeshBounds;

/**
 * Settings of a control process.
 *
 * @param name name of the control, unique in the mesh
 * @param dataCentre data centre in which it runs
 * @param dataFolder folder for its persistent data
 * @param replicaAddress address at which other controls reach it
 * @param nodeAddress address at which nodes reach it
 * @param operatorAddress address at which operators reach it by HTTP
 * @param administrationAddress HTTP address of its metrics and health checks
 * @param controls all controls of the mesh, including this one
 * @param joins whether this control requests its own admission as a member
 * @param bounds bounds that hold for the whole mesh
 * @param log settings of the log
 */
public record ControlSettings(
        String name,
        String dataCentre,
        Path dataFolder,
        Address replicaAddress,
        Address nodeAddress,
        Address operatorAddress,
        Address administrationAddress,
        List<Peer> controls,
        boolean joins,
        MeshBounds bounds,
        LogSettings log) {
    /**
     * A control of the mesh.
     *
     * @param name name of the control
     * @param replicaAddress address at which other controls reach it
     */
    public record Peer(String name, Address replicaAddress) {}

    /** Makes an unmodifiable copy of the list. */
    public ControlSettings {
        controls = List.copyOf(controls);
    }

    /**
     * Reads the settings.
     *
     * @param object content of the settings file
     * @return the settings
     */
    public static ControlSettings read(CheckedObject object) {
        ControlSettings settings =
                new ControlSettings(
                        object.name("name"),
                        object.name("dataCentre"),
                        Path.of(object.text("dataFolder")),
                        object.address("replicaAddress"),
                        object.address("nodeAddress"),
                        object.address("operatorAddress"),
                        object.address("administrationAddress"),
                        object.objects(
                                "controls",
                                peer ->
                                        new Peer(
                                                peer.name("name"), peer.address("replicaAddress"))),
                        object.flag("joins", false),
                        MeshBounds.read(object),
                        LogSettings.read(object));
        settings.requireDistinctAddresses(object);
        settings.requireListed(object);
        return settings;
    }

    private void requireDistinctAddresses(CheckedObject object) {
        DistinctAddresses.of(object)
                .with("replicaAddress", replicaAddress)
                .with("nodeAddress", nodeAddress)
                .with("operatorAddress", operatorAddress)
                .with("administrationAddress", administrationAddress);
    }

    private void requireListed(CheckedObject object) {
        boolean listed = controls.contains(new Peer(name, replicaAddress));
        if (!listed) {
            object.addFault("controls", "must list this control, with its name and replicaAddress");
        }
    }
}
