package org.cuminreach.control;

import java.nio.file.Path;
import java.util.List;
import org.cuminreach.runtime.log.LogSettings;
import org.cuminreach.settings.Address;
import org.cuminreach.settings.CheckedObject;
import org.cuminreach.settings.DistinctAddresses;

/**
 * Settings of a control process.
 *
 * @param name name of the control, unique in the mesh
 * @param dataCentre where it runs
 * @param dataFolder folder for everything it keeps
 * @param replicaAddress where other controls reach it
 * @param nodeAddress where nodes reach it
 * @param operatorAddress where operators reach it by HTTP
 * @param administrationAddress where its metrics and health are read by HTTP
 * @param controls the controls of the mesh, itself included
 * @param joins whether this control asks to become a member by itself
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
        LogSettings log) {
    /**
     * One control of the mesh.
     *
     * @param name its name
     * @param replicaAddress where other controls reach it
     */
    public record Peer(String name, Address replicaAddress) {}

    /** Copies the list. */
    public ControlSettings {
        controls = List.copyOf(controls);
    }

    /**
     * Reads the settings.
     *
     * @param object the settings file
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
                        LogSettings.read(object));
        settings.refuseEqualAddresses(object);
        settings.refuseStranger(object);
        return settings;
    }

    private void refuseEqualAddresses(CheckedObject object) {
        DistinctAddresses.of(object)
                .with("replicaAddress", replicaAddress)
                .with("nodeAddress", nodeAddress)
                .with("operatorAddress", operatorAddress)
                .with("administrationAddress", administrationAddress);
    }

    private void refuseStranger(CheckedObject object) {
        boolean listed = controls.contains(new Peer(name, replicaAddress));
        if (!listed) {
            object.addFault("controls", "must list this control, with its name and replicaAddress");
        }
    }
}
