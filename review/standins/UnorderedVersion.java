package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Servers of a new version are started beside the old ones, and no rollout is ordered yet. A node is
 * stopped and started again on its own.
 */
public final class UnorderedVersion {
    private static final int SERVERS = 3;
    private static final int REQUESTS = 60;

    private UnorderedVersion() {}

    public static void main(String[] arguments) {
        Case.main(arguments, UnorderedVersion::run);
    }

    private static int run(Deployment deployment, Record record, boolean trouble) throws Exception {
        Operator operator = new Operator(record);
        String[] zones = {"nidaros", "lade", "heimdal"};
        List<Deployment.Machine> controls = new ArrayList<>();
        List<Deployment.Machine> oldNodes = new ArrayList<>();
        List<Deployment.Machine> newNodes = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            controls.add(deployment.control("core-" + (i + 1), zones[i]));
        }
        for (int i = 0; i < SERVERS; i++) {
            oldNodes.add(deployment.node("sidecar-old-" + (i + 1), zones[i], "shop"));
            newNodes.add(deployment.node("sidecar-new-" + (i + 1), zones[i], "shop"));
        }
        controls.forEach(control -> control.start(true, controls));
        oldNodes.forEach(node -> node.start(true, controls));
        List<AppServer> oldServers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            oldServers.add(new AppServer(oldNodes.get(i), "i-old-" + (i + 1), "v1", 20));
        }
        if (!operator.putUntilAcknowledged(controls, 0, Operator.configuration(1, "shop", 1.0), 30)) {
            return Case.NOT_RUN;
        }
        Deployment.Machine entrance = oldNodes.get(0);
        Thread.sleep(6_000);
        if (!sendRequests(record, entrance, "before the new version") || count(oldServers) == 0) {
            return Case.NOT_RUN;
        }
        record.add("servers of v2 are started alongside those of v1; nobody has ordered a rollout");
        newNodes.forEach(node -> node.start(false, controls));
        List<AppServer> newServers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            newServers.add(new AppServer(newNodes.get(i), "i-new-" + (i + 1), "v2", 20));
        }
        Thread.sleep(6_000);
        sendRequests(record, entrance, "with servers of both versions");
        if (trouble) {
            record.add(entrance.name + " gets SIGTERM");
            entrance.terminate();
            for (int wait = 0; wait < 80 && entrance.isRunning(); wait++) {
                Thread.sleep(100);
            }
            entrance.kill();
            record.add(entrance.name + " is started again");
            entrance.start(false, controls);
        }
        for (int wait = 0; wait < 150 && !Client.isReady(entrance); wait++) {
            Thread.sleep(100);
        }
        Thread.sleep(6_000);
        boolean answered = sendRequests(record, entrance, "afterwards");
        int unordered = count(newServers);
        record.add("requests run by v1: " + count(oldServers) + ", by v2: " + unordered);
        if (unordered > 0) {
            record.add("BROKEN: a version got requests that no configuration and no order sent there");
            return Case.BROKEN;
        }
        return answered ? Case.HELD : Case.NOT_RUN;
    }

    private static int count(List<AppServer> servers) {
        return servers.stream().mapToInt(AppServer::ran).sum();
    }

    private static boolean sendRequests(Record record, Deployment.Machine node, String when)
            throws InterruptedException {
        int answered = 0;
        for (int i = 0; i < REQUESTS; i++) {
            String id = Client.newId();
            try {
                Http.Message answer = Client.get(node, id, "/read/" + i);
                record.add(when + ": request " + id + " to " + node.name + ": " + answer.status() + " "
                        + answer.text().strip());
                answered += answer.status() == 200 ? 1 : 0;
            } catch (IOException failure) {
                record.add(when + ": request " + id + " to " + node.name + ": no answer, " + failure.getMessage());
            }
            Thread.sleep(20);
        }
        return answered > REQUESTS / 2;
    }
}
