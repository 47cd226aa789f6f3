package org.cuminreach.runtime;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

class RepeatedTaskTest {
    @Example
    void failureDoesNotEndTheRepetition() throws Exception {
        CountDownLatch runs = new CountDownLatch(3);
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        try {
            timer.scheduleWithFixedDelay(
                    RepeatedTask.of(
                            "test",
                            () -> {
                                runs.countDown();
                                throw new IllegalStateException("each time");
                            }),
                    1,
                    1,
                    TimeUnit.MILLISECONDS);

            assertThat(runs.await(30, TimeUnit.SECONDS)).isTrue();
        } finally {
            timer.shutdownNow();
        }
    }

    @Example
    void lackOfMemoryInOneRunDoesNotEndTheRepetition() {
        RepeatedTask task =
                RepeatedTask.of(
                        "test",
                        () -> {
                            throw new OutOfMemoryError("direct buffer memory");
                        });

        task.run();
    }
}
