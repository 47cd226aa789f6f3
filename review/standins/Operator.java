package review;

import java.io.IOException;
import java.util.Locale;

/** An operator that sends configurations and reads them back, as the platform's pages tell. */
final class Operator {
    private static final int TIMEOUT_MILLIS = 1_000;

    private final Record record;

    Operator(Record record) {
        this.record = record;
    }

    /** A configuration with one safe and one unsafe route to a service. */
    static String configuration(int version, String service, double safeTimeoutSeconds) {
        return String.format(
                Locale.ROOT,
                "{\"version\":\"r%d\",\"routes\":{\"columns\":[\"name\",\"host\",\"path-prefix\",\"route-kind\","
                        + "\"timeout-s\",\"target-latency-s\",\"priority\",\"service\",\"max-attempts\",\"traffic-split\"],"
                        + "\"rows\":[[\"r-safe\",\"shop.example\",\"/read/\",\"safe\",%.1f,0.5,2,\"%s\",2,null],"
                        + "[\"r-unsafe\",\"shop.example\",\"/order/\",\"unsafe\",1.5,0.6,1,\"%s\",2,null]]},"
                        + "\"services\":{\"columns\":[\"name\",\"health-path\",\"max-connections\",\"protocol\",\"tls\"],"
                        + "\"rows\":[[\"%s\",\"/health\",120,\"h1\",false]]},"
                        + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,"
                        + "\"header-timeout-s\":3,\"idle-timeout-s\":15}}",
                version, safeTimeoutSeconds, service, service, service);
    }

    /** Sends an order once; returns the status, or 0 when no answer came. */
    int post(Deployment.Machine to, String path, String headers, String body) {
        try {
            Http.Message answer =
                    Http.exchange(
                            to.control(),
                            "POST " + path + " HTTP/1.1\r\nHost: " + Deployment.text(to.control())
                                    + "\r\nContent-Type: application/json" + headers,
                            body,
                            TIMEOUT_MILLIS);
            record.add("operator POST " + path + headers.replace("\r\n", " ") + " to " + to.name + ": "
                    + answer.status() + " " + (answer.status() == 200 ? "" : answer.text().strip()));
            return answer.status();
        } catch (IOException failure) {
            record.add("operator POST " + path + " to " + to.name + ": no answer, " + failure.getMessage());
            return 0;
        }
    }

    int put(Deployment.Machine to, int base, String configuration) {
        return post(to, "/Config.Put", "\r\nCuminreach-Base-Version: r" + base, configuration);
    }

    /** Sends a configuration again, to one control after the other, until it is acknowledged. */
    boolean putUntilAcknowledged(
            java.util.List<Deployment.Machine> controls, int base, String configuration, double seconds)
            throws InterruptedException {
        long end = System.nanoTime() + (long) (seconds * 1e9);
        for (int next = 0; System.nanoTime() < end; next++) {
            if (put(controls.get(next % controls.size()), base, configuration) == 200) {
                return true;
            }
            Thread.sleep(200);
        }
        return false;
    }

    /** Reads the configuration; returns its version, 0 when it does not come. */
    int read(Deployment.Machine from) {
        try {
            Http.Message answer =
                    Http.exchange(
                            from.control(),
                            "GET /Config.Get HTTP/1.1\r\nHost: " + Deployment.text(from.control()),
                            "",
                            TIMEOUT_MILLIS);
            String version =
                    answer.status() == 200
                            ? answer.text().replaceAll("(?s).*\"version\"\\s*:\\s*\"r(\\d+)\".*", "$1")
                            : "0";
            record.add("operator GET /Config.Get from " + from.name + ": " + answer.status()
                    + (answer.status() == 200 ? " r" + version : " " + answer.text().strip()));
            return Integer.parseInt(version);
        } catch (IOException failure) {
            record.add("operator GET /Config.Get from " + from.name + ": no answer, " + failure.getMessage());
            return 0;
        }
    }
}
