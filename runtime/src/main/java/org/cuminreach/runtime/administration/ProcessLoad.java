package org.cuminreach.runtime.administration;

import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.EventExecutor;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;
import org.cuminreach.runtime.EventLoopLag;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.runtime.ProcessorTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reports the lag of the event loops and the processor time of a process. */
public final class ProcessLoad {
    private static final Logger LOGGER = LoggerFactory.getLogger(ProcessLoad.class);
    private static final long SAMPLE_INTERVAL_MILLIS = 1_000;
    private static final long LOG_INTERVAL_MILLIS = 60_000;

    private final List<EventLoopLag> lags = new ArrayList<>();

    private ProcessLoad() {}

    /**
     * Starts to sample the event loops until they stop.
     *
     * @param eventLoops event loops of the process
     * @param registry registry for the gauges
     * @return the load
     */
    public static ProcessLoad start(EventLoopGroup eventLoops, PrometheusRegistry registry) {
        ProcessLoad load = new ProcessLoad();
        for (EventExecutor eventLoop : eventLoops) {
            EventLoopLag lag = EventLoopLag.none();
            load.lags.add(lag);
            scheduleSample(eventLoop, lag);
        }
        load.register(registry);
        eventLoops
                .next()
                .scheduleWithFixedDelay(
                        load::log, LOG_INTERVAL_MILLIS, LOG_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        return load;
    }

    private static void scheduleSample(EventExecutor eventLoop, EventLoopLag lag) {
        long dueMillis = ProcessClock.monotonicMillis() + SAMPLE_INTERVAL_MILLIS;
        eventLoop.schedule(
                () -> {
                    lag.record(dueMillis, ProcessClock.monotonicMillis())
                            .ifPresent(
                                    millis ->
                                            LOGGER.info("event=event_loop_late lag_ms={}", millis));
                    scheduleSample(eventLoop, lag);
                },
                SAMPLE_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void register(PrometheusRegistry registry) {
        Gauges.register(
                registry,
                "cuminreach_process_event_loop_lag_millis",
                "Lag of the latest sample of the event loops",
                () -> highest(EventLoopLag::latestMillis));
        Gauges.register(
                registry,
                "cuminreach_process_event_loop_highest_lag_millis",
                "Highest lag of the event loops since the start",
                () -> highest(EventLoopLag::highestMillis));
        Gauges.register(
                registry,
                "cuminreach_process_processor_millis",
                "Processor time used since the start",
                ProcessorTime::usedMillis);
    }

    private void log() {
        LOGGER.info(
                "event=process_load processor_ms={} highest_lag_ms={}",
                ProcessorTime.usedMillis(),
                highestLagMillis());
    }

    /**
     * Returns the highest lag of an event loop since the start.
     *
     * @return milliseconds
     */
    public long highestLagMillis() {
        return highest(EventLoopLag::highestMillis);
    }

    private long highest(ToLongFunction<EventLoopLag> value) {
        return lags.stream().mapToLong(value).max().orElse(0);
    }
}
