package review;

import java.nio.file.Path;

/**
 * Runs a case. The exit codes differ from those of the Java runtime, which ends with 1 when it cannot
 * start; run.sh turns them into 1 (broken), 0 (held) and 2 (could not run).
 */
interface Case {
    int HELD = 10;
    int BROKEN = 11;
    int NOT_RUN = 12;

    int run(Deployment deployment, Record record, boolean trouble) throws Exception;

    /** Arguments: the root of the repository and the folder of the case. */
    static void main(String[] arguments, Case test) {
        int code = NOT_RUN;
        try (Record record = new Record(Path.of(arguments[1], "record.txt"));
                Deployment deployment = Deployment.create(Path.of(arguments[0]).toRealPath())) {
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            record.add(trouble ? "with the disruption" : "without the disruption");
            code = test.run(deployment, record, trouble);
            record.add("result: " + (code == HELD ? "held" : code == BROKEN ? "broken" : "could not run"));
        } catch (Throwable failure) {
            failure.printStackTrace();
        }
        System.exit(code);
    }
}
