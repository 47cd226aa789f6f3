package org.cuminreach.control.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.time.Instant;
import java.util.Optional;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.asynchttpclient.Response;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.runtime.launch.Command;
import org.cuminreach.runtime.launch.ExitCode;

/** Prints a line whenever the leader, convergence or a rollout changes. */
final class WatchCommand implements Command {
    private static final String CONTROLS = "controls";
    private static final String SECONDS = "seconds";
    private static final long DEFAULT_SECONDS = 60;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long POLL_MILLIS = 500;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Override
    public String name() {
        return "watch";
    }

    @Override
    public String summary() {
        return "Print a line whenever the leader, convergence or a rollout changes";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        parser.accepts(CONTROLS, "Comma-separated operator addresses of the controls")
                .withRequiredArg()
                .required();
        parser.accepts(SECONDS, "Seconds to watch")
                .withRequiredArg()
                .ofType(Long.class)
                .defaultsTo(DEFAULT_SECONDS);
    }

    @Override
    public int run(OptionSet options, PrintStream out, PrintStream err) {
        Optional<ControlClient> client = ControlClient.of((String) options.valueOf(CONTROLS));
        if (client.isEmpty()) {
            err.println("watch: --controls requires addresses such as 10.0.0.1:7002");
            return ExitCode.USAGE;
        }
        long endMillis =
                ProcessClock.monotonicMillis()
                        + (Long) options.valueOf(SECONDS) * MILLIS_PER_SECOND;
        try (ControlClient openClient = client.get()) {
            return watch(openClient, endMillis, out, err);
        } catch (IOException e) {
            err.println("watch: " + e.getMessage());
            return ExitCode.REFUSED;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return ExitCode.DONE;
        }
    }

    private static int watch(ControlClient client, long endMillis, PrintStream out, PrintStream err)
            throws JsonProcessingException, InterruptedException {
        String lastLine = "";
        while (ProcessClock.monotonicMillis() < endMillis) {
            Optional<Response> status = client.get("/status");
            if (status.isEmpty()) {
                err.println("watch: no control answered");
                return ExitCode.REFUSED;
            }
            String line = describe(MAPPER.readTree(status.get().getResponseBody()));
            if (!line.equals(lastLine)) {
                out.println(Instant.ofEpochMilli(ProcessClock.wallMillis()) + " " + line);
                lastLine = line;
            }
            Thread.sleep(POLL_MILLIS);
        }
        return ExitCode.DONE;
    }

    /** Summarises leader, convergence and rollouts as key=value pairs. */
    static String describe(JsonNode status) {
        long version = status.path("version").longValue();
        int holding = 0;
        for (JsonNode node : status.path("nodes")) {
            holding += node.path("version").longValue() >= version ? 1 : 0;
        }
        StringBuilder line = new StringBuilder();
        line.append("leader=").append(status.path("leader").asText());
        line.append(" configuration=").append(version);
        line.append(" nodes=").append(holding).append('/').append(status.path("nodes").size());
        for (JsonNode rollout : status.path("rollouts")) {
            line.append(' ').append(rollout.path("service").asText());
            line.append('=').append(rollout.path("version").asText());
            line.append(':').append(rollout.path("phase").asText());
            line.append(':').append(rollout.path("sharePerMille").asInt());
        }
        return line.toString();
    }
}
