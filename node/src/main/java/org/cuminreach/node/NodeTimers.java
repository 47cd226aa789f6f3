package org.cuminreach.node;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.cuminreach.runtime.RepeatedTask;

/**
 * Runs the periodic tasks of a node. Tasks of the same interval run one after the other, since each
 * wake-up of a thread costs more than such a task.
 */
final class NodeTimers {
    private final ScheduledExecutorService executor;
    private final List<ScheduledFuture<?>> scheduled = new ArrayList<>();

    private NodeTimers(ScheduledExecutorService executor) {
        this.executor = executor;
    }

    /**
     * Creates timers without tasks.
     *
     * @param executor runs the tasks
     * @return the timers
     */
    static NodeTimers create(ScheduledExecutorService executor) {
        return new NodeTimers(executor);
    }

    /**
     * Runs tasks repeatedly, in the given order, until the timers stop.
     *
     * @param intervalMillis time between the end of a run and the next one, in milliseconds
     * @param tasks the tasks; one that fails does not keep the others from running
     */
    synchronized void repeat(long intervalMillis, RepeatedTask... tasks) {
        List<RepeatedTask> all = List.of(tasks);
        scheduled.add(
                executor.scheduleWithFixedDelay(
                        () -> all.forEach(RepeatedTask::run),
                        intervalMillis,
                        intervalMillis,
                        TimeUnit.MILLISECONDS));
    }

    /** Stops all tasks; one that runs is not interrupted. */
    synchronized void stop() {
        scheduled.forEach(task -> task.cancel(false));
        scheduled.clear();
    }
}
