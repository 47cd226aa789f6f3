package org.cuminreach.trial.demo;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.stream.Collectors;

/** Writes the settings files and documents of the demonstration. */
final class DemoFiles {
    private static final int ROLLOUT_SECONDS = 120;

    private final Path folder;
    private final DemoPlan plan;

    DemoFiles(Path folder, DemoPlan plan) {
        this.folder = folder;
        this.plan = plan;
    }

    Path control(DemoPlan.Control control) throws IOException {
        String peers =
                plan.controls().stream()
                        .map(
                                peer ->
                                        "{\"name\": \"%s\", \"replicaAddress\": \"%s\"}"
                                                .formatted(peer.name(), peer.replica()))
                        .collect(Collectors.joining(", "));
        String text =
                """
                {
                  "name": "%s", "dataCentre": "%s", "dataFolder": "%s",
                  "replicaAddress": "%s", "nodeAddress": "%s",
                  "operatorAddress": "%s", "administrationAddress": "%s",
                  "controls": [%s]
                }
                """
                        .formatted(
                                control.name(),
                                control.dataCentre(),
                                folder.resolve(control.name() + "-data"),
                                control.replica(),
                                control.node(),
                                control.operator(),
                                control.administration(),
                                peers);
        return write(control.name() + ".json", text);
    }

    Path node(DemoPlan.Target target) throws IOException {
        String controls =
                plan.controls().stream()
                        .map(control -> "\"" + control.node() + "\"")
                        .collect(Collectors.joining(", "));
        String text =
                """
                {
                  "name": "%s", "dataCentre": "%s",
                  "callerAddress": "%s", "inboundAddress": "%s", "administrationAddress": "%s",
                  "controls": [%s],
                  "target": {"service": "%s", "version": "%s", "address": "%s", "slots": %d},
                  "stopMillis": 5000
                }
                """
                        .formatted(
                                target.name(),
                                target.dataCentre(),
                                target.caller(),
                                target.inbound(),
                                target.administration(),
                                controls,
                                target.service(),
                                target.version(),
                                target.target(),
                                target.slots());
        return write(target.name() + ".json", text);
    }

    Path standIns(String service) throws IOException {
        String targets =
                plan.targets().stream()
                        .filter(target -> target.service().equals(service))
                        .map(DemoFiles::standIn)
                        .collect(Collectors.joining(",\n  "));
        return write("stand-in-" + service + ".json", "{\"targets\": [\n  " + targets + "]}\n");
    }

    Path document(String name, boolean withRollouts, String priority) throws IOException {
        String doneBy = Instant.now().plusSeconds(ROLLOUT_SECONDS).toString();
        String rollout =
                withRollouts
                        ? ", \"rollout\": {\"version\": \"2\", \"doneBy\": \"" + doneBy + "\"}"
                        : "";
        String services =
                plan.services().stream()
                        .map(service -> service(service, rollout))
                        .collect(Collectors.joining(",\n    "));
        String routes =
                plan.services().stream()
                        .map(DemoFiles::route)
                        .collect(Collectors.joining(",\n    "));
        String text =
                """
                {
                  "services": [
                    %s],
                  "routes": [
                    %s],
                  "rolloutPriority": "%s"
                }
                """
                        .formatted(services, routes, priority);
        return write(name, text);
    }

    private static String service(String service, String rollout) {
        boolean moves = List.of("verksted", "order-app").contains(service);
        return "{\"name\": \"%s\", \"version\": \"1\"%s}".formatted(service, moves ? rollout : "");
    }

    private static String route(String service) {
        return "{\"name\": \"%s\", \"host\": \"%s.example\", \"service\": \"%s\"}"
                .formatted(service, service, service);
    }

    private static String standIn(DemoPlan.Target target) {
        return ("{\"address\": \"%s\", \"service\": \"%s\", \"version\": \"%s\","
                        + " \"serviceMillis\": %d, \"failingPerMille\": %d}")
                .formatted(
                        target.target(),
                        target.service(),
                        target.version(),
                        target.serviceMillis(),
                        target.failingPerMille());
    }

    private Path write(String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name), text);
    }
}
