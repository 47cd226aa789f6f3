package org.cuminreach.control.command;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.cuminreach.control.ControlSettings;
import org.cuminreach.control.storage.DataFolder;
import org.cuminreach.control.storage.DataFolderInitialiser;
import org.cuminreach.decisions.agreement.Member;
import org.cuminreach.runtime.launch.Command;
import org.cuminreach.runtime.launch.ExitCode;
import org.cuminreach.runtime.launch.SettingsOption;

/** Initialises the empty data folder of one of the first controls of a new mesh. */
final class InitialiseCommand implements Command {
    private static final SettingsOption<ControlSettings> SETTINGS =
            SettingsOption.of(ControlSettings::read);

    @Override
    public String name() {
        return "initialise";
    }

    @Override
    public String summary() {
        return "Initialise the data folder of one of the first controls of a new mesh;"
                + " must not be used after a disk loss";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        SETTINGS.declare(parser);
    }

    @Override
    public int run(OptionSet options, PrintStream out, PrintStream err) {
        Optional<ControlSettings> settings = SETTINGS.read(options, err);
        if (settings.isEmpty()) {
            return ExitCode.REFUSED;
        }
        try (DataFolder folder = DataFolder.open(settings.get().dataFolder())) {
            return initialise(settings.get(), folder, out, err);
        } catch (IOException e) {
            err.println("the data folder cannot be used: " + e.getMessage());
            return ExitCode.REFUSED;
        }
    }

    private static int initialise(
            ControlSettings settings, DataFolder folder, PrintStream out, PrintStream err)
            throws IOException {
        if (folder.identity().isPresent()) {
            err.println(settings.dataFolder() + " already holds the data of a control");
            return ExitCode.REFUSED;
        }
        List<Member> members =
                settings.controls().stream()
                        .map(peer -> new Member(peer.name(), peer.replicaAddress(), true))
                        .toList();
        DataFolderInitialiser.initialise(folder, settings.name(), members);
        out.println("initialised " + settings.dataFolder() + " for " + settings.name());
        return ExitCode.DONE;
    }
}
