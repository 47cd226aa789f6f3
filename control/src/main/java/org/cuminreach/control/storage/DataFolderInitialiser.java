package org.cuminreach.control.storage;

import java.io.IOException;
import java.util.List;
import org.cuminreach.decisions.agreement.DurableState;
import org.cuminreach.decisions.agreement.Member;
import org.cuminreach.decisions.agreement.Membership;
import org.cuminreach.decisions.configuration.MeshStateImage;
import org.cuminreach.wire.ConfigurationCodec;

/** Initialises the data folders of the first controls of a mesh. */
public final class DataFolderInitialiser {
    private DataFolderInitialiser() {}

    /**
     * Makes a control a voter of a new mesh. All initial voters must be initialised with the same
     * members; none of them may be initialised again once one of them has lost its disk.
     *
     * @param folder the empty data folder
     * @param identity identity of the control, one of the members
     * @param members the initial voters
     * @throws IOException when the folder cannot be written
     */
    public static void initialise(DataFolder folder, String identity, List<Member> members)
            throws IOException {
        byte[] state = ConfigurationCodec.encode(MeshStateImage.empty());
        DurableState initial = DurableState.initial(new Membership(members), state);
        folder.saveSnapshot(initial.snapshot().orElseThrow(), false);
        folder.saveIdentity(identity);
    }
}
