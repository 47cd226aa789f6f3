package review;

import java.util.ArrayList;
import java.util.List;

/**
 * A core machine is replaced by an empty one at another address. When the successor has had
 * catch-up-s and a little longer, two other core machines lose their disks.
 */
public final class ReplacedThenWiped {
    private static final double CATCH_UP_SECONDS = 4;
    private static final double RECOVERY_SECONDS = 15;

    private ReplacedThenWiped() {}

    public static void main(String[] arguments) {
        Case.main(arguments, ReplacedThenWiped::run);
    }

    private static int run(Deployment deployment, Record record, boolean trouble) throws Exception {
        Operator operator = new Operator(record);
        List<Deployment.Machine> controls = new ArrayList<>();
        String[] zones = {"nidaros", "nidaros", "lade", "lade", "heimdal"};
        for (int i = 0; i < zones.length; i++) {
            controls.add(deployment.control("core-" + (i + 1), zones[i]));
        }
        Deployment.Machine first = controls.get(0);
        Deployment.Machine second = controls.get(1);
        Deployment.Machine replaced = controls.get(2);
        Deployment.Machine successor = deployment.control("core-6", "lade");
        List<Deployment.Machine> seeds = List.of(first, replaced, controls.get(4));
        controls.forEach(control -> control.start(true, seeds));
        if (!operator.putUntilAcknowledged(controls, 0, Operator.configuration(1, "shop", 1.0), 30)) {
            return Case.NOT_RUN;
        }
        Thread.sleep(10_000);
        List<Deployment.Machine> current = new ArrayList<>(controls);
        if (trouble) {
            record.add("core-3 is killed and gone for good");
            replaced.kill();
            replaced.wipe();
            Thread.sleep(1_000);
            record.add("core-6 starts with an empty disk at another address");
            List<Deployment.Machine> seedsNow = List.of(first, second, controls.get(4));
            successor.start(false, seedsNow);
            current.set(2, successor);
            Thread.sleep((long) ((CATCH_UP_SECONDS + 1.5) * 1_000));
        }
        if (!operator.putUntilAcknowledged(current, 1, Operator.configuration(2, "shop", 1.1), 5)) {
            return Case.NOT_RUN;
        }
        if (operator.read(current.get(2)) != 2) {
            return Case.NOT_RUN;
        }
        if (trouble) {
            record.add("core-1 and core-2 lose power and their disks");
            first.kill();
            second.kill();
            first.wipe();
            second.wipe();
            Thread.sleep(1_000);
            record.add("core-1 and core-2 start with empty disks");
            List<Deployment.Machine> seedsNow = List.of(successor, controls.get(3), controls.get(4));
            first.start(false, seedsNow);
            second.start(false, seedsNow);
        }
        Thread.sleep((long) (RECOVERY_SECONDS * 1_000));
        record.add("the operator reads back what was acknowledged, from each machine of the core");
        boolean came = false;
        for (int round = 0; round < 8 && !came; round++) {
            for (Deployment.Machine control : current) {
                int version = operator.read(control);
                if (version != 0 && version < 2) {
                    record.add("BROKEN: an older configuration was read");
                    return Case.BROKEN;
                }
                came |= version == 2;
            }
            Thread.sleep(500);
        }
        record.add(came ? "held: the configuration came" : "BROKEN: the acknowledged configuration doesn't come");
        return came ? Case.HELD : Case.BROKEN;
    }
}
