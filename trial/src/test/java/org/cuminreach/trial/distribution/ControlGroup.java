package org.cuminreach.trial.distribution;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.UUID;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cuminreach.control.ControlProcess;
import org.cuminreach.control.ControlSettings;
import org.cuminreach.control.storage.DataFolder;
import org.cuminreach.decisions.agreement.DurableState;
import org.cuminreach.decisions.agreement.Member;
import org.cuminreach.decisions.agreement.Membership;
import org.cuminreach.decisions.configuration.MeshStateImage;
import org.cuminreach.runtime.log.LogFormat;
import org.cuminreach.runtime.log.LogLevel;
import org.cuminreach.runtime.log.LogSettings;
import org.cuminreach.settings.Address;
import org.cuminreach.settings.MeshBounds;
import org.cuminreach.trial.mesh.FreeAddresses;
import org.cuminreach.wire.ConfigurationCodec;

/** Three controls on loopback, with a separate relay for each direction between two of them. */
final class ControlGroup implements AutoCloseable {
    static final int COUNT = 3;

    private static final long MAX_WAIT_MILLIS = 90_000;
    private static final Pattern SESSIONS = Pattern.compile("\"sessions\" : (\\d+)");

    private final Path folder;
    private final List<ControlSettings> settings = new ArrayList<>();
    private final List<ControlProcess> running = new ArrayList<>();
    private final BlackholeRelay[][] relays = new BlackholeRelay[COUNT][COUNT];
    private final HttpClient http = HttpClient.newHttpClient();

    private ControlGroup(Path folder) {
        this.folder = folder;
    }

    static ControlGroup start() throws IOException {
        return start(Collections.nCopies(COUNT, "nidaros"));
    }

    static ControlGroup start(List<String> dataCentres) throws IOException {
        ControlGroup group = new ControlGroup(Files.createTempDirectory("control-group"));
        for (int index = 0; index < COUNT; index++) {
            group.settings.add(group.newSettings("control-" + index, dataCentres.get(index)));
        }
        for (int from = 0; from < COUNT; from++) {
            group.initialise(from);
        }
        for (ControlSettings controlSettings : group.settings) {
            group.running.add(ControlProcess.start(controlSettings));
        }
        return group;
    }

    Address nodeAddress(int control) {
        return settings.get(control).nodeAddress();
    }

    List<Address> nodeAddresses() {
        return settings.stream().map(ControlSettings::nodeAddress).toList();
    }

    /** Drops or restores all traffic between one control and the others; sockets stay open. */
    void setPartitioned(int control, boolean partitioned) {
        for (int other = 0; other < COUNT; other++) {
            if (other != control) {
                relays[control][other].dropTraffic(partitioned);
                relays[other][control].dropTraffic(partitioned);
            }
        }
    }

    int awaitLeader() {
        int[] leader = {-1};
        await(
                () -> {
                    for (int index = 0; index < COUNT; index++) {
                        if (get(index, "/status").contains("\"leader\" : \"control-")) {
                            leader[0] = parseLeader(get(index, "/status"));
                        }
                    }
                    return leader[0] >= 0;
                });
        return leader[0];
    }

    /** Submits the document until it is accepted, and returns its version. */
    long submit(int control, long basedOn, String document) {
        String key = UUID.randomUUID().toString();
        long[] version = {0};
        await(
                () -> {
                    String body = post(control, basedOn, key, document);
                    if (body.contains("\"accepted\"")) {
                        version[0] =
                                Long.parseLong(
                                        body.replaceAll("(?s).*\"version\" : (\\d+).*", "$1"));
                    }
                    return version[0] > 0;
                });
        return version[0];
    }

    /** Returns the number of node sessions of a control, or -1 when it does not answer. */
    int sessionCount(int control) {
        Matcher matcher = SESSIONS.matcher(get(control, "/status"));
        return matcher.find() ? Integer.parseInt(matcher.group(1)) : -1;
    }

    String get(int control, String path) {
        return send(HttpRequest.newBuilder(uri(control, path)).build());
    }

    void stop(int control) {
        running.get(control).stop();
    }

    static void await(BooleanSupplier condition) {
        long deadline = System.nanoTime() + MAX_WAIT_MILLIS * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError("condition not met within " + MAX_WAIT_MILLIS + " ms");
            }
            pause(50);
        }
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new AssertionError(interrupted);
        }
    }

    @Override
    public void close() throws IOException {
        running.forEach(ControlProcess::stop);
        for (BlackholeRelay[] row : relays) {
            for (BlackholeRelay relay : row) {
                if (relay != null) {
                    relay.close();
                }
            }
        }
    }

    private void initialise(int from) throws IOException {
        List<Member> members = new ArrayList<>();
        for (int to = 0; to < COUNT; to++) {
            Address address = settings.get(to).replicaAddress();
            if (to != from) {
                relays[from][to] = BlackholeRelay.to(address);
                address = relays[from][to].address();
            }
            members.add(new Member("control-" + to, address, true));
        }
        byte[] state = ConfigurationCodec.encode(MeshStateImage.empty());
        try (DataFolder data = DataFolder.open(settings.get(from).dataFolder())) {
            data.saveSnapshot(
                    DurableState.initial(new Membership(members), state).snapshot().orElseThrow(),
                    false);
            data.saveIdentity("control-" + from);
        }
    }

    private ControlSettings newSettings(String name, String dataCentre) throws IOException {
        return new ControlSettings(
                name,
                dataCentre,
                folder.resolve(name),
                FreeAddresses.next(),
                FreeAddresses.next(),
                FreeAddresses.next(),
                FreeAddresses.next(),
                List.of(),
                false,
                MeshBounds.defaults(),
                LogSettings.of(LogLevel.WARN, LogFormat.TEXT));
    }

    private static int parseLeader(String status) {
        return Integer.parseInt(status.replaceAll("(?s).*\"leader\" : \"control-(\\d).*", "$1"));
    }

    private String post(int control, long basedOn, String key, String document) {
        return send(
                HttpRequest.newBuilder(uri(control, "/documents?basedOn=" + basedOn))
                        .header("Idempotency-Key", key)
                        .POST(HttpRequest.BodyPublishers.ofString(document))
                        .build());
    }

    private URI uri(int control, String path) {
        return URI.create("http://" + settings.get(control).operatorAddress() + path);
    }

    private String send(HttpRequest request) {
        try {
            return http.send(request, HttpResponse.BodyHandlers.ofString()).body();
        } catch (IOException unreachable) {
            return "";
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return "";
        }
    }
}
