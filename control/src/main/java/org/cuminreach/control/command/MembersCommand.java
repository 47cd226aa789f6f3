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

/** Lists the Raft members, adds a new control or removes a lost one. */
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
        return "List the members of the replicated log, add a new control or remove a lost one";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        parser.accepts(CONTROLS, "Comma-separated operator addresses of the controls")
                .withRequiredArg()
                .required();
        parser.accepts(ADD, "Identity of the control to add, as shown in its status")
                .withRequiredArg();
        parser.accepts(ADDRESS, "Replica address of the control to add").withRequiredArg();
        parser.accepts(REMOVE, "Identity of the control to remove permanently").withRequiredArg();
    }

    @Override
    public int run(OptionSet options, PrintStream out, PrintStream err) {
        Optional<ControlClient> client = ControlClient.of((String) options.valueOf(CONTROLS));
        boolean addHasAddress = options.has(ADD) == options.has(ADDRESS);
        boolean singleChange = !(options.has(ADD) && options.has(REMOVE));
        if (client.isEmpty() || !addHasAddress || !singleChange) {
            err.println(
                    "members: requires addresses such as 10.0.0.1:7003, and at most one of"
                            + " --add with --address, or --remove");
            return ExitCode.USAGE;
        }
        try (ControlClient openClient = client.get()) {
            return run(openClient, options, out, err);
        } catch (IOException e) {
            err.println("members: " + e.getMessage());
            return ExitCode.REFUSED;
        }
    }

    private static int run(
            ControlClient client, OptionSet options, PrintStream out, PrintStream err) {
        boolean isChange = options.has(ADD) || options.has(REMOVE);
        Optional<Response> response =
                isChange ? client.post(PATH + query(options), Map.of(), "") : client.get(PATH);
        if (response.isEmpty()) {
            err.println("members: no conclusive answer; list the members to learn the outcome");
            return isChange ? ExitCode.UNKNOWN : ExitCode.REFUSED;
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
