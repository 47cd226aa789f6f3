package org.cuminreach.trial.standin;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.runtime.http.HttpCall;
import org.cuminreach.runtime.http.HttpHandler;

/** A target that counts its runs of each numbered call and returns the number in its answer. */
public final class StandInTarget implements HttpHandler {
    /** Header with the number of a call. */
    public static final String NUMBER_HEADER = "X-Trial-Number";

    private static final String TEXT = "text/plain";
    private static final int ALL_PER_MILLE = 1_000;

    private final Behaviour behaviour;
    private final Map<String, Integer> runCounts;
    private final ScheduledExecutorService timer;

    private StandInTarget(
            Behaviour behaviour, Map<String, Integer> runCounts, ScheduledExecutorService timer) {
        this.behaviour = behaviour;
        this.runCounts = runCounts;
        this.timer = timer;
    }

    /**
     * Creates a stand-in.
     *
     * @param behaviour its behaviour
     * @param runCounts number of runs by call number, shared by the stand-ins of a process
     * @param timer delays answers by the service time
     * @return the stand-in
     */
    public static StandInTarget create(
            Behaviour behaviour, Map<String, Integer> runCounts, ScheduledExecutorService timer) {
        return new StandInTarget(behaviour, runCounts, timer);
    }

    /**
     * Creates an empty map of run counts.
     *
     * @return a thread-safe map
     */
    public static Map<String, Integer> emptyRunCounts() {
        return new ConcurrentHashMap<>();
    }

    @Override
    public CompletableFuture<HttpAnswer> handle(HttpCall call) {
        if (call.path().equals("/trial/runs")) {
            return CompletableFuture.completedFuture(HttpAnswer.of(200, TEXT, runsText()));
        }
        String number = call.header(NUMBER_HEADER, "");
        if (!number.isEmpty()) {
            runCounts.merge(number, 1, Integer::sum);
        }
        CompletableFuture<HttpAnswer> result = new CompletableFuture<>();
        timer.schedule(
                () -> result.complete(answer(number)),
                behaviour.serviceMillis(),
                TimeUnit.MILLISECONDS);
        return result;
    }

    private HttpAnswer answer(String number) {
        boolean fails =
                ThreadLocalRandom.current().nextInt(ALL_PER_MILLE) < behaviour.failuresPerMille();
        String body = "%s %s %s%n".formatted(number, behaviour.service(), behaviour.version());
        return HttpAnswer.of(fails ? 500 : 200, TEXT, body);
    }

    private String runsText() {
        StringBuilder text = new StringBuilder();
        runCounts.forEach(
                (number, count) -> text.append(number).append(' ').append(count).append('\n'));
        return text.toString();
    }
}
