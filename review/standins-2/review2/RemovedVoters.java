package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * LOST: a control loses power during a planned replacement of another one, and the disks of two others
 * are lost before it is back. What was acknowledged can't be read any more, and no configuration can
 * ever be changed again. With DOWN_MILLIS there is no replacement, and the first control is down for
 * that time.
 */
final class RemovedVoters extends Case {
    private static final int CONTROLS = 5;

    /** Time for which a control has no power; the site's node_kill takes 3.5 s at most. */
    private static final int POWER_LOSS_MILLIS = 3_400;

    /** Time from the power loss to the SIGTERM that ends the planned replacement. */
    private static final int REPLACED_MILLIS = 2_200;

    /** Time from the power loss to the loss of the two disks. */
    private static final int WIPED_MILLIS = 3_000;

    /** Time from the start of the successor to the power loss, over catch-up-s. */
    private static final int SUCCESSOR_MILLIS = 6_000;

    private static final String DOWN_MILLIS = System.getenv("DOWN_MILLIS");

    /** From the bounds of the deployment, with a reserve for reading back for contact-s. */
    private static final int RECOVERY_MILLIS = 15_000;

    private static final int READ_MILLIS = 10_000;

    public static void main(String[] arguments) {
        run(new RemovedVoters(), arguments);
    }

    @Override
    boolean isBroken(Deployment deployment) throws Exception {
        Record record = deployment.record;
        for (int control = 0; control < CONTROLS; control++) {
            deployment.addControl("zone-" + "abcde".charAt(control));
        }
        deployment.addNode("zone-a", "order-app");
        deployment.startAll();
        Operator operator = new Operator(deployment);
        operator.put("0", configuration(1), 20);
        deployment.awaitReady(20);
        // As long as from the start of the machines to the first traffic in the site.
        Deployment.sleep(13_000);
        List<Deployment.Machine> controls = new ArrayList<>(deployment.controls());
        Deployment.Machine down = controls.get(3);
        List<Deployment.Machine> wiped = controls.subList(1, 3);
        if (DOWN_MILLIS == null) {
            Deployment.Machine replaced = controls.removeLast();
            Deployment.Machine successor = deployment.addControl(replaced.zone);
            successor.start();
            Deployment.sleep(SUCCESSOR_MILLIS);
            loseTwoDisks(operator, down, controls.subList(1, 3), replaced);
            controls.add(successor);
        } else {
            loseTwoDisks(operator, down, wiped, Integer.parseInt(DOWN_MILLIS));
        }
        record.line("all controls are back; %d of them with an empty disk", TROUBLE ? 2 : 0);
        boolean broken = !isReadBack(record, operator, controls);
        List<Integer> statuses = new ArrayList<>();
        for (Deployment.Machine control : controls) {
            statuses.add(change(operator, control));
        }
        record.line("answers of the controls to a further change on top of r2: %s", statuses);
        return broken;
    }

    private static void loseTwoDisks(
            Operator operator,
            Deployment.Machine down,
            List<Deployment.Machine> wiped,
            Deployment.Machine replaced) {
        if (TROUBLE) {
            down.kill();
        }
        long start = System.nanoTime();
        sleepUntil(start, REPLACED_MILLIS);
        replaced.signal("TERM");
        operator.put("r1", configuration(2), 20);
        if (TROUBLE) {
            sleepUntil(start, WIPED_MILLIS);
            wiped.forEach(Deployment.Machine::kill);
            wiped.forEach(Deployment.Machine::wipe);
            sleepUntil(start, POWER_LOSS_MILLIS);
            down.start();
            wiped.forEach(Deployment.Machine::start);
        }
    }

    private static void loseTwoDisks(
            Operator operator,
            Deployment.Machine down,
            List<Deployment.Machine> wiped,
            int downMillis) {
        if (TROUBLE) {
            down.kill();
        }
        Deployment.sleep(downMillis);
        operator.put("r1", configuration(2), 20);
        if (TROUBLE) {
            wiped.forEach(Deployment.Machine::kill);
            wiped.forEach(Deployment.Machine::wipe);
            down.start();
            wiped.forEach(Deployment.Machine::start);
        }
    }

    private static void sleepUntil(long start, int millis) {
        Deployment.sleep(millis - (System.nanoTime() - start) / 1_000_000);
    }

    /** Reads the configuration back until it comes; tells whether it is the acknowledged one. */
    private static boolean isReadBack(
            Record record, Operator operator, List<Deployment.Machine> controls) {
        long start = System.nanoTime();
        String last = "";
        while ((System.nanoTime() - start) / 1_000_000 < RECOVERY_MILLIS + READ_MILLIS) {
            for (Deployment.Machine control : controls) {
                String answer;
                try {
                    Http.Message message = operator.get(control, "/Config.Get", 1_000);
                    answer =
                            message.status() == 200
                                    ? message.text().replaceAll("(?s).*\"version\":\"(r\\d+)\".*", "$1")
                                    : message.status() + " " + message.text().strip();
                } catch (IOException failure) {
                    answer = failure.toString();
                }
                double seconds = (System.nanoTime() - start) / 1e9;
                if (!answer.equals(last)) {
                    record.line("%s, %.1f s after all are back: %s", control.name, seconds, answer);
                    last = answer;
                }
                if (answer.matches("r\\d+")) {
                    return answer.equals("r2");
                }
            }
            Deployment.sleep(200);
        }
        record.line("no control has returned a configuration");
        return false;
    }

    private static int change(Operator operator, Deployment.Machine control) {
        try {
            return operator.putOnce(control, "r2", configuration(3), 1_000).status();
        } catch (IOException failure) {
            return 0;
        }
    }

    private static String configuration(int version) {
        return Operator.configuration(
                version,
                List.of(Operator.route("read", "/read/", "safe", version, "order-app")),
                List.of("order-app"));
    }
}
