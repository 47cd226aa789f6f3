package org.cuminreach.runtime.launch;

import java.util.concurrent.CountDownLatch;
import org.cuminreach.runtime.log.LogSetup;

/** Keeps a process running until the operating system signals it to stop. */
public final class Shutdown {
    /** A process that can be stopped. */
    @FunctionalInterface
    public interface Stoppable {
        /**
         * Stops the process after completing its outstanding work for other processes.
         *
         * @throws InterruptedException when the thread is interrupted while it waits
         */
        void stop() throws InterruptedException;
    }

    private Shutdown() {}

    /**
     * Waits for the stop signal, then stops the process and writes the last lines of its log.
     *
     * @param process the process
     * @throws InterruptedException when the thread is interrupted while it waits
     */
    public static void await(Stoppable process) throws InterruptedException {
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(process, stopped)));
        stopped.await();
    }

    private static void stop(Stoppable process, CountDownLatch stopped) {
        try {
            process.stop();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        LogSetup.finish();
        stopped.countDown();
    }
}
