package org.cuminreach.control.command;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.asynchttpclient.Response;
import org.cuminreach.runtime.launch.Command;
import org.cuminreach.runtime.launch.ExitCode;

/** Lists the controls that keep the log, admits a new one or removes a lost one. */
final class MembersCommand implements Command {
    private static final String CONTROLS = "controls";
    private static final String ADD = "add";
    private static final String ADDRESS = "address";
    private static final String REMOVE = "remove";
    private static final String PATH = "/members";

    @Override
    public String name() {
        return "members";
    }

    @Override
    public String summary() {
        return "List the controls that keep the log, admit a new one or remove a lost one";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        parser.accepts(CONTROLS, "Operator addresses of the controls, separated by commas")
                .withRequiredArg()
                .required();
        parser.accepts(ADD, "Identity of the control to admit, from its status").withRequiredArg();
        parser.accepts(ADDRESS, "Replica address of the control to admit").withRequiredArg();
        parser.accepts(REMOVE, "Identity of the control to remove for good").withRequiredArg();
    }

    @Override
    public int run(OptionSet options, PrintStream out, PrintStream err) {
        Optional<ControlClient> client = ControlClient.of((String) options.valueOf(CONTROLS));
        boolean paired = options.has(ADD) == options.has(ADDRESS);
        boolean single = !(options.has(ADD) && options.has(REMOVE));
        if (client.isEmpty() || !paired || !single) {
            err.println(
                    "members: needs addresses such as 10.0.0.1:7003, and at most one of"
                            + " --add with --address, or --remove");
            return ExitCode.USAGE;
        }
        try (ControlClient opened = client.get()) {
            return run(opened, options, out, err);
        } catch (IOException unclosed) {
            err.println("members: " + unclosed.getMessage());
            return ExitCode.REFUSED;
        }
    }

    private static int run(
            ControlClient client, OptionSet options, PrintStream out, PrintStream err) {
        boolean changes = options.has(ADD) || options.has(REMOVE);
        Optional<Response> response =
                changes ? client.post(PATH + query(options), Map.of(), "") : client.get(PATH);
        if (response.isEmpty()) {
            err.println("members: no control settled it; list the members to see what came of it");
            return changes ? ExitCode.UNKNOWN : ExitCode.REFUSED;
        }
        out.print(response.get().getResponseBody());
        return response.get().getStatusCode() < 300 ? ExitCode.DONE : ExitCode.REFUSED;
    }

    private static String query(OptionSet options) {
        if (options.has(REMOVE)) {
            return "?remove=" + encode((String) options.valueOf(REMOVE));
        }
        return "?add="
                + encode((String) options.valueOf(ADD))
                + "&address="
                + encode((String) options.valueOf(ADDRESS));
    }

    private static String encode(String value) {
        return URLEncoder.encode(value, StandardCharsets.UTF_8);
    }
}
