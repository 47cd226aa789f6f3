package org.cuminreach.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.cuminreach.runtime.RepeatedTask;

class NodeTimersTest {
    private static final long TIMEOUT_SECONDS = 20;
    private static final long INTERVAL_MILLIS = 1;
    private static final long NEVER_MILLIS = 3_600_000;
    private final ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(1);
    private final NodeTimers timers = NodeTimers.create(executor);

    @AfterTry
    void stopExecutor() {
        executor.shutdownNow();
    }

    @Example
    void tasksOfOneIntervalDoNotWakeTheThreadOneByOne() {
        timers.repeat(NEVER_MILLIS, task("first", () -> {}), task("second", () -> {}));

        assertThat(executor.getQueue()).hasSize(1);
    }

    @Example
    void taskThatFailsDoesNotEndTheOthers() throws Exception {
        CountDownLatch runs = new CountDownLatch(2);
        List<String> order = new CopyOnWriteArrayList<>();
        timers.repeat(
                INTERVAL_MILLIS,
                task(
                        "failing",
                        () -> {
                            order.add("failing");
                            throw new IllegalStateException("fails each time");
                        }),
                task(
                        "sound",
                        () -> {
                            order.add("sound");
                            runs.countDown();
                        }));

        assertThat(runs.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
        assertThat(List.copyOf(order).subList(0, 4))
                .containsExactly("failing", "sound", "failing", "sound")
                .inOrder();
    }

    @Example
    void stoppedTimersRunNoTask() {
        timers.repeat(NEVER_MILLIS, task("task", () -> {}));
        timers.stop();
        executor.purge();

        assertThat(executor.getQueue()).isEmpty();
    }

    private static RepeatedTask task(String name, Runnable run) {
        return RepeatedTask.of(name, run);
    }
}
