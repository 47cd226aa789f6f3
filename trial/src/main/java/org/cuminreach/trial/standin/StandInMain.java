package org.cuminreach.trial.standin;

import io.netty.channel.EventLoopGroup;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.cuminreach.runtime.EventLoops;
import org.cuminreach.runtime.http.HttpServer;
import org.cuminreach.runtime.launch.SettingsFile;

/** Runs the stand-in targets that a settings file lists. */
public final class StandInMain {
    private static final int EVENT_LOOP_THREADS = 2;

    private StandInMain() {}

    /**
     * Runs until the process is terminated.
     *
     * @param arguments path of the settings file
     */
    public static void main(String[] arguments) {
        Optional<List<Behaviour>> behaviours =
                SettingsFile.read(
                        Path.of(arguments[0]),
                        List.of(),
                        object -> object.objects("targets", Behaviour::read),
                        System.err);
        if (behaviours.isEmpty()) {
            System.exit(1);
        }
        EventLoopGroup eventLoops = EventLoops.start(EVENT_LOOP_THREADS);
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        Map<String, Integer> runCounts = StandInTarget.emptyRunCounts();
        for (Behaviour behaviour : behaviours.get()) {
            HttpServer.listen(
                            behaviour.address(),
                            eventLoops,
                            StandInTarget.create(behaviour, runCounts, timer))
                    .join();
        }
    }
}
