package org.cuminreach.control.command;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Optional;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.asynchttpclient.Response;
import org.cuminreach.runtime.launch.Command;
import org.cuminreach.runtime.launch.ExitCode;

/** Prints the answer of a control to a read request. */
final class ReadCommand implements Command {
    private static final String CONTROLS = "controls";

    private final String name;
    private final String summary;
    private final String path;

    private ReadCommand(String name, String summary, String path) {
        this.name = name;
        this.summary = summary;
        this.path = path;
    }

    static ReadCommand status() {
        return new ReadCommand("status", "Print the state of the mesh", "/status");
    }

    static ReadCommand history() {
        return new ReadCommand(
                "history", "Print the history of documents and rollout steps", "/history");
    }

    static ReadCommand document() {
        return new ReadCommand("document", "Print the current document", "/documents/current");
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public String summary() {
        return summary;
    }

    @Override
    public void declareOptions(OptionParser parser) {
        parser.accepts(CONTROLS, "Comma-separated operator addresses of the controls")
                .withRequiredArg()
                .required();
    }

    @Override
    public int run(OptionSet options, PrintStream out, PrintStream err) {
        Optional<ControlClient> client = ControlClient.of((String) options.valueOf(CONTROLS));
        if (client.isEmpty()) {
            err.println(name + ": --controls requires addresses such as 10.0.0.1:7003");
            return ExitCode.USAGE;
        }
        try (ControlClient openClient = client.get()) {
            Optional<Response> response = openClient.get(path);
            if (response.isEmpty()) {
                err.println(name + ": no control answered");
                return ExitCode.REFUSED;
            }
            out.print(response.get().getResponseBody());
            return response.get().getStatusCode() == 200 ? ExitCode.DONE : ExitCode.REFUSED;
        } catch (IOException e) {
            err.println(name + ": " + e.getMessage());
            return ExitCode.REFUSED;
        }
    }
}
