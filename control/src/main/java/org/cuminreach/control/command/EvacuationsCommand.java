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

/** Lists the evacuated data centres, and starts or ends the evacuation of one. */
final class EvacuationsCommand implements Command {
    private static final String CONTROLS = "controls";
    private static final String START = "start";
    private static final String END = "end";
    private static final String PATH = "/evacuations";

    @Override
    public String name() {
        return "evacuations";
    }

    @Override
    public String summary() {
        return "List the evacuated data centres, start or end the evacuation of one";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        parser.accepts(CONTROLS, "Comma-separated operator addresses of the controls")
                .withRequiredArg()
                .required();
        parser.accepts(START, "Data centre whose targets are to get no more calls")
                .withRequiredArg();
        parser.accepts(END, "Data centre whose targets are to get calls again").withRequiredArg();
    }

    @Override
    public int run(OptionSet options, PrintStream out, PrintStream err) {
        Optional<ControlClient> client = ControlClient.of((String) options.valueOf(CONTROLS));
        if (client.isEmpty() || (options.has(START) && options.has(END))) {
            err.println(
                    "evacuations: requires addresses such as 10.0.0.1:7003, and at most one of"
                            + " --start and --end");
            return ExitCode.USAGE;
        }
        try (ControlClient openClient = client.get()) {
            return run(openClient, options, out, err);
        } catch (IOException e) {
            err.println("evacuations: " + e.getMessage());
            return ExitCode.REFUSED;
        }
    }

    private static int run(
            ControlClient client, OptionSet options, PrintStream out, PrintStream err) {
        boolean isOrder = options.has(START) || options.has(END);
        Optional<Response> response =
                isOrder ? client.post(PATH + query(options), Map.of(), "") : client.get(PATH);
        if (response.isEmpty()) {
            err.println("evacuations: no conclusive answer; the same order may be sent again");
            return isOrder ? ExitCode.UNKNOWN : ExitCode.REFUSED;
        }
        out.print(response.get().getResponseBody());
        return response.get().getStatusCode() < 300 ? ExitCode.DONE : ExitCode.REFUSED;
    }

    private static String query(OptionSet options) {
        String action = options.has(START) ? START : END;
        String dataCentre = (String) options.valueOf(action);
        return "?" + action + "=" + URLEncoder.encode(dataCentre, StandardCharsets.UTF_8);
    }
}
