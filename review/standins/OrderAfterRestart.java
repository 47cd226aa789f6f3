package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * A rollout is ordered, and shortly after it was sent all processes of the system are killed and
 * started again. The operator sends the order again. The servers run on all the while.
 */
public final class OrderAfterRestart {
    private static final int SERVERS = 3;
    private static final int REQUESTS = 60;
    private static final double RECOVERY_SECONDS = 15;
    private static final double RESEND_SECONDS = 4;
    private static final long CORE_DOWN_MILLIS = 600;
    private static final long NODES_DOWN_MILLIS = 1_300;

    private OrderAfterRestart() {}

    public static void main(String[] arguments) {
        Case.main(arguments, OrderAfterRestart::run);
    }

    private static int run(Deployment deployment, Record record, boolean trouble) throws Exception {
        Operator operator = new Operator(record);
        String[] zones = {"nidaros", "lade", "heimdal"};
        List<Deployment.Machine> controls = new ArrayList<>();
        List<Deployment.Machine> nodes = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            controls.add(deployment.control("core-" + (i + 1), zones[i]));
        }
        for (int i = 0; i < 2 * SERVERS; i++) {
            nodes.add(deployment.node("sidecar-" + (i + 1), zones[i % SERVERS], "shop"));
        }
        controls.forEach(control -> control.start(true, controls));
        nodes.forEach(node -> node.start(true, controls));
        List<AppServer> oldServers = new ArrayList<>();
        List<AppServer> newServers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            oldServers.add(new AppServer(nodes.get(i), "i-old-" + (i + 1), "v1", 20));
        }
        if (!operator.putUntilAcknowledged(controls, 0, Operator.configuration(1, "shop", 1.0), 30)) {
            return Case.NOT_RUN;
        }
        Thread.sleep(6_000);
        if (sendRequests(record, nodes, "before") < REQUESTS / 4) {
            return Case.NOT_RUN;
        }
        record.add("servers of v2 are started alongside those of v1");
        for (int i = 0; i < SERVERS; i++) {
            newServers.add(new AppServer(nodes.get(SERVERS + i), "i-new-" + (i + 1), "v2", 20));
        }
        Thread.sleep(4_000);
        String order = "{\"service\":\"shop\",\"target-version\":\"v2\",\"duration-s\":60}";
        long end = System.nanoTime() + (long) (RESEND_SECONDS * 1e9);
        Thread starter = new Thread(() -> {});
        if (trouble) {
            Thread sender = Thread.ofPlatform().start(() -> operator.post(controls.get(0), "/Rollouts.Start", "", order));
            record.add("all processes are killed");
            controls.forEach(Deployment.Machine::kill);
            nodes.forEach(Deployment.Machine::kill);
            sender.join();
            Thread.sleep(CORE_DOWN_MILLIS);
            record.add("the processes of the core are started again");
            controls.forEach(control -> control.start(true, controls));
            starter = Thread.ofPlatform().start(() -> startLater(record, nodes, controls));
        }
        boolean acknowledged = false;
        long backoffMillis = 100;
        for (int next = 1; !acknowledged && System.nanoTime() < end; next++) {
            acknowledged = operator.post(controls.get(next % controls.size()), "/Rollouts.Start", "", order) == 200;
            Thread.sleep(acknowledged ? 0 : backoffMillis);
            backoffMillis += 50;
        }
        starter.join();
        if (!acknowledged) {
            return Case.NOT_RUN;
        }
        Thread.sleep((long) (RECOVERY_SECONDS * 1_000));
        int served = 0;
        for (int round = 0; round < 3; round++) {
            served += sendRequests(record, nodes, "after recovery-s");
        }
        record.add("served " + served + " of " + 3 * REQUESTS + "; run by v1: "
                + oldServers.stream().mapToInt(AppServer::ran).sum() + ", by v2: "
                + newServers.stream().mapToInt(AppServer::ran).sum());
        boolean broken = served * 4 < 3 * REQUESTS;
        record.add(broken ? "BROKEN: less than a quarter is served" : "held");
        return broken ? Case.BROKEN : Case.HELD;
    }

    private static void startLater(
            Record record, List<Deployment.Machine> nodes, List<Deployment.Machine> controls) {
        try {
            Thread.sleep(NODES_DOWN_MILLIS - CORE_DOWN_MILLIS);
        } catch (InterruptedException interrupted) {
            return;
        }
        record.add("the processes of the nodes are started again");
        nodes.forEach(node -> node.start(true, controls));
    }

    /** Sends requests to all nodes in turn; returns how many were answered with success. */
    private static int sendRequests(Record record, List<Deployment.Machine> nodes, String when)
            throws InterruptedException {
        int answered = 0;
        for (int i = 0; i < REQUESTS; i++) {
            Deployment.Machine node = nodes.get(i % nodes.size());
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
        return answered;
    }
}
