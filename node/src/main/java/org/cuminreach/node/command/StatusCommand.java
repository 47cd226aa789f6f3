package org.cuminreach.node.command;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.cuminreach.node.settings.NodeSettings;
import org.cuminreach.runtime.http.StrictHttpClientCodec;
import org.cuminreach.runtime.launch.Command;
import org.cuminreach.runtime.launch.ExitCode;
import org.cuminreach.runtime.launch.SettingsOption;

/** Prints the status of a running node. */
final class StatusCommand implements Command {
    private static final SettingsOption<NodeSettings> SETTINGS =
            SettingsOption.of(NodeSettings::read);

    @Override
    public String name() {
        return "status";
    }

    @Override
    public String summary() {
        return "Print the status of the running node";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        SETTINGS.declare(parser);
    }

    @Override
    public int run(OptionSet options, PrintStream out, PrintStream err) {
        Optional<NodeSettings> settings = SETTINGS.read(options, err);
        if (settings.isEmpty()) {
            return ExitCode.REFUSED;
        }
        String url = "http://" + settings.get().administrationAddress() + "/status";
        try (AsyncHttpClient client =
                Dsl.asyncHttpClient(
                        Dsl.config()
                                .setHttpAdditionalChannelInitializer(
                                        StrictHttpClientCodec::replaceCodecOf))) {
            out.print(client.prepareGet(url).execute().get().getResponseBody());
            return ExitCode.DONE;
        } catch (IOException | ExecutionException failure) {
            err.println("status: the node does not answer: " + failure.getMessage());
            return ExitCode.REFUSED;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return ExitCode.REFUSED;
        }
    }
}
