package review;

import java.nio.file.Path;

/** Runs a case: exits with 1 when the rule was broken, 0 when it held, 2 when it could not run. */
interface Case {
    int HELD = 0;
    int BROKEN = 1;
    int NOT_RUN = 2;

    int run(Deployment deployment, Record record, boolean trouble) throws Exception;

    /** Arguments: the root of the repository and the folder of the case. */
    static void main(String[] arguments, Case test) {
        int code = NOT_RUN;
        try (Record record = new Record(Path.of(arguments[1], "record.txt"));
                Deployment deployment = Deployment.create(Path.of(arguments[0]).toRealPath())) {
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            record.add(trouble ? "with the disruption" : "without the disruption");
            code = test.run(deployment, record, trouble);
            record.add("exit code " + code);
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.exit(code);
    }
}
