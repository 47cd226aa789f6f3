package org.cuminreach.node.caller;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import org.cuminreach.decisions.admission.Caller;
import org.cuminreach.document.Idempotence;
import org.cuminreach.document.Route;
import org.cuminreach.document.RouteAccess;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.http.SendOutcome;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.runtime.http.HttpCall;

class RouteStatisticsTest {
    private static final long RUN_MICROS = 200_000;
    private static final long FAILURE_MICROS = 10_000;
    private static final int CALLS = 100;

    private final RouteStatistics statistics = new RouteStatistics();

    /** Guards against second attempts beside calls that are not overdue. */
    @Example
    void callsThatFailFastDoNotShortenTypicalRunningTime() {
        for (int call = 0; call < CALLS; call++) {
            record(200, RUN_MICROS);
        }
        for (int call = 0; call < CALLS; call++) {
            record(500, FAILURE_MICROS);
        }

        assertThat(statistics.requirements(attempts(), 0).typicalRunMillis())
                .isWithin(1)
                .of(RUN_MICROS / 1_000.0);
    }

    private void record(int status, long micros) {
        HttpAnswer answer =
                HttpAnswer.of(status, "text/plain", "")
                        .setHeader(MeshHeaders.OUTCOME, MeshHeaders.ANSWERED);
        statistics.record(attempts(), new SendOutcome.Completed(answer), Optional.empty(), micros);
    }

    static CallAttempts attempts() {
        return attempts(
                new HttpCall("GET", "/status", new DefaultHttpHeaders(), new byte[0], "127.0.0.1"));
    }

    static CallAttempts attempts(HttpCall call) {
        Route route =
                new Route(
                        "status",
                        "a.example",
                        "/status",
                        Route.singleDestination("one"),
                        1_500,
                        Idempotence.ALWAYS,
                        2,
                        800,
                        1,
                        "",
                        new RouteAccess(false, List.of()));
        return new CallAttempts(
                call,
                route,
                "one",
                "request",
                new CallOrigin(new Caller("10.0.0.1", ""), Optional.empty(), 1),
                true,
                0,
                1_500,
                1,
                0);
    }
}
