package org.cuminreach.runtime;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A task of a timer that runs again after a failure. A scheduled executor silently ends the
 * repetition of a task that throws.
 */
public final class RepeatedTask implements Runnable {
    private static final Logger LOGGER = LoggerFactory.getLogger(RepeatedTask.class);

    private final String name;
    private final Runnable task;

    private RepeatedTask(String name, Runnable task) {
        this.name = name;
        this.task = task;
    }

    /**
     * Returns a task that logs its failures.
     *
     * @param name name of the task, for the log
     * @param task what to do each time
     * @return the task, which never throws
     */
    public static RepeatedTask of(String name, Runnable task) {
        return new RepeatedTask(name, task);
    }

    @Override
    public void run() {
        try {
            task.run();
        } catch (RuntimeException | OutOfMemoryError failure) {
            LOGGER.error("event=timer_task_failed task={} action=run_again", name, failure);
        }
    }
}
