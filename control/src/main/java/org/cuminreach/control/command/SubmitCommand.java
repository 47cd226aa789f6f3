package org.cuminreach.control.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.asynchttpclient.Response;
import org.cuminreach.control.operator.OperatorHandler;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.runtime.launch.Command;
import org.cuminreach.runtime.launch.ExitCode;
import org.cuminreach.runtime.launch.SettingsFile;

/** Submits a document and optionally waits until all nodes have applied it. */
final class SubmitCommand implements Command {
    private static final String CONTROLS = "controls";
    private static final String DOCUMENT = "document";
    private static final String BASED_ON = "based-on";
    private static final String KEY = "key";
    private static final String OPERATOR = "operator";
    private static final String WAIT = "wait";
    private static final long POLL_MILLIS = 100;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Override
    public String name() {
        return "submit";
    }

    @Override
    public String summary() {
        return "Submit a document; it is accepted as a whole or refused with all faults";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        parser.accepts(CONTROLS, "Comma-separated operator addresses of the controls")
                .withRequiredArg()
                .required();
        parser.accepts(DOCUMENT, "Document file").withRequiredArg().required();
        parser.accepts(BASED_ON, "Version of the document that this one is based on")
                .withRequiredArg()
                .ofType(Long.class)
                .required();
        parser.accepts(KEY, "Idempotency key; a resend with the same key gets the first outcome")
                .withRequiredArg();
        parser.accepts(OPERATOR, "Operator name that is recorded in the history")
                .withRequiredArg()
                .defaultsTo(System.getProperty("user.name", "operator"));
        parser.accepts(WAIT, "Seconds to wait until all nodes have applied it")
                .withRequiredArg()
                .ofType(Long.class)
                .defaultsTo(0L);
    }

    @Override
    public int run(OptionSet options, PrintStream out, PrintStream err) {
        Optional<String> text =
                SettingsFile.readText(Path.of((String) options.valueOf(DOCUMENT)), err);
        Optional<ControlClient> client = ControlClient.of((String) options.valueOf(CONTROLS));
        if (text.isEmpty() || client.isEmpty()) {
            err.println("submit: requires a document and addresses such as 10.0.0.1:7003");
            return ExitCode.USAGE;
        }
        try (ControlClient openClient = client.get()) {
            return submit(openClient, text.get(), options, out, err);
        } catch (IOException e) {
            err.println("submit: " + e.getMessage());
            return ExitCode.REFUSED;
        }
    }

    private static int submit(
            ControlClient client, String text, OptionSet options, PrintStream out, PrintStream err)
            throws JsonProcessingException {
        String key =
                options.has(KEY) ? (String) options.valueOf(KEY) : UUID.randomUUID().toString();
        Map<String, String> headers =
                Map.of(
                        OperatorHandler.IDEMPOTENCY_KEY_HEADER,
                        key,
                        OperatorHandler.OPERATOR_HEADER,
                        (String) options.valueOf(OPERATOR));
        Optional<Response> response =
                client.post("/documents?basedOn=" + options.valueOf(BASED_ON), headers, text);
        if (response.isEmpty()) {
            err.println("submit: the outcome is unknown; retry with --key " + key);
            return ExitCode.UNKNOWN;
        }
        out.print(response.get().getResponseBody());
        return switch (response.get().getStatusCode()) {
            case 200 -> awaitConvergence(client, response.get(), options, out, err);
            case 504 -> {
                err.println("submit: the outcome is unknown; retry with --key " + key);
                yield ExitCode.UNKNOWN;
            }
            default -> ExitCode.REFUSED;
        };
    }

    private static int awaitConvergence(
            ControlClient client,
            Response accepted,
            OptionSet options,
            PrintStream out,
            PrintStream err)
            throws JsonProcessingException {
        long version = MAPPER.readTree(accepted.getResponseBody()).path("version").longValue();
        long startMillis = ProcessClock.monotonicMillis();
        long deadlineMillis = startMillis + (Long) options.valueOf(WAIT) * 1_000;
        while (ProcessClock.monotonicMillis() < deadlineMillis) {
            Optional<Response> convergence = client.get("/convergence?version=" + version);
            if (convergence.isPresent() && hasConverged(convergence.get())) {
                long elapsedMillis = ProcessClock.monotonicMillis() - startMillis;
                out.println("in force everywhere after " + elapsedMillis + " ms");
                return ExitCode.DONE;
            }
            if (!sleepUntilNextPoll()) {
                return ExitCode.REFUSED;
            }
        }
        if ((Long) options.valueOf(WAIT) == 0) {
            return ExitCode.DONE;
        }
        String lagging =
                client.get("/convergence?version=" + version)
                        .map(SubmitCommand::describeLaggingNodes)
                        .orElse("unknown, no control answers");
        err.println("submit: not yet applied on: " + lagging);
        return ExitCode.REFUSED;
    }

    private static boolean hasConverged(Response convergence) throws JsonProcessingException {
        return convergence.getStatusCode() == 200
                && MAPPER.readTree(convergence.getResponseBody()).path("everywhere").asBoolean();
    }

    private static String describeLaggingNodes(Response convergence) {
        try {
            JsonNode body = MAPPER.readTree(convergence.getResponseBody());
            List<String> names = new ArrayList<>();
            body.path("lagging")
                    .forEach(
                            lag ->
                                    names.add(
                                            "%s (version %d for %d ms)"
                                                    .formatted(
                                                            lag.path("node").asText(),
                                                            lag.path("heldVersion").longValue(),
                                                            lag.path("laggingMillis")
                                                                    .longValue())));
            int omitted =
                    body.path("nodes").intValue() - body.path("holding").intValue() - names.size();
            return String.join(", ", names) + (omitted > 0 ? " and " + omitted + " more" : "");
        } catch (JsonProcessingException malformed) {
            return "unknown: " + malformed.getOriginalMessage();
        }
    }

    private static boolean sleepUntilNextPoll() {
        try {
            Thread.sleep(POLL_MILLIS);
            return true;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
