package review2;

import java.io.IOException;
import java.util.List;

/** Operator of the platform: sends configurations and reads them back. */
final class Operator {
    private final Deployment deployment;
    private int next;

    Operator(Deployment deployment) {
        this.deployment = deployment;
    }

    /**
     * Returns a configuration.
     *
     * @param version its number
     * @param routes rows of the table of routes, in JSON
     * @param services names of the services
     */
    static String configuration(int version, List<String> routes, List<String> services) {
        return """
                {"version":"r%d","routes":{"columns":["name","host","path-prefix","route-kind","timeout-s",\
                "target-latency-s","priority","service","max-attempts","traffic-split"],"rows":[%s]},\
                "services":{"columns":["name","health-path","max-connections","protocol","tls"],\
                "rows":[%s]},"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,\
                "header-timeout-s":3,"idle-timeout-s":15}}"""
                .formatted(
                        version,
                        String.join(",", routes),
                        String.join(
                                ",",
                                services.stream()
                                        .map(
                                                name ->
                                                        "[\"" + name + "\",\"/health\",120,\"h1\",false]")
                                        .toList()));
    }

    static String route(String name, String prefix, String kind, double timeout, String service) {
        return "[\"%s\",\"shop.example\",\"%s\",\"%s\",%s,%s,1,\"%s\",2,null]"
                .formatted(name, prefix, kind, timeout, timeout / 2, service);
    }

    /** Sends a configuration again and again until it is acknowledged. */
    void put(String base, String configuration, int seconds) {
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        while (System.nanoTime() < end) {
            try {
                Http.Message answer = putOnce(base, configuration, 1_000);
                if (answer.status() == 200) {
                    deployment.record.line("operator: 200 for a configuration on top of %s", base);
                    return;
                }
                if (answer.status() < 500 && answer.status() != 408 && answer.status() != 429) {
                    throw new CannotRunException(
                            "configuration refused: " + answer.startLine() + " " + answer.text());
                }
            } catch (IOException noAnswer) {
                // The next control is asked.
            }
            Deployment.sleep(100);
        }
        throw new CannotRunException("no acknowledgement of the configuration");
    }

    Http.Message putOnce(String base, String configuration, int timeoutMillis) throws IOException {
        Deployment.Machine control =
                deployment.controls().get(next++ % deployment.controls().size());
        return putOnce(control, base, configuration, timeoutMillis);
    }

    Http.Message putOnce(
            Deployment.Machine control, String base, String configuration, int timeoutMillis)
            throws IOException {
        byte[] body = Http.bytes(configuration);
        return Http.exchange(
                control.ip,
                control.control(),
                "POST /Config.Put HTTP/1.1\r\nHost: control\r\nCuminreach-Base-Version: "
                        + base
                        + "\r\nContent-Type: application/json\r\nConnection: close\r\n"
                        + "Content-Length: "
                        + body.length
                        + "\r\n\r\n",
                body,
                timeoutMillis);
    }

    Http.Message get(Deployment.Machine control, String path, int timeoutMillis)
            throws IOException {
        return Http.exchange(
                control.ip,
                control.control(),
                "GET " + path + " HTTP/1.1\r\nHost: control\r\nConnection: close\r\n\r\n",
                new byte[0],
                timeoutMillis);
    }
}
