package review2;

import java.nio.file.Path;

/** Runs a case and ends with 1 if its rule was broken, 0 if it held and 2 if it could not run. */
abstract class Case {
    /** Tells whether the disruption of the case happens. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    /** Returns whether the rule was broken. */
    abstract boolean isBroken(Deployment deployment) throws Exception;

    static void run(Case tested, String[] arguments) {
        Path root = Path.of(arguments[0]);
        int status = 2;
        try (Record record = new Record(Path.of(arguments[1]).resolve("record.txt"))) {
            record.line("disruption: %s", TROUBLE ? "on" : "off");
            try (Deployment deployment = new Deployment(root, record, "")) {
                boolean broken = tested.isBroken(deployment);
                record.line(broken ? "BROKEN" : "HELD");
                status = broken ? 1 : 0;
            } catch (Exception | Error failure) {
                record.line("CANNOT RUN: %s", failure);
                failure.printStackTrace(System.out);
            }
        }
        System.exit(status);
    }
}
