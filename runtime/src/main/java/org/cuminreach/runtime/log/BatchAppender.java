package org.cuminreach.runtime.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.UnsynchronizedAppenderBase;
import ch.qos.logback.core.encoder.Encoder;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes log lines to standard output in batches, on a thread of its own. Under load, a batch costs
 * one wake-up and one write where single lines would cost one each. Appending never blocks: lines
 * that do not fit the queue are dropped and counted, lines below level WARN first.
 */
final class BatchAppender extends UnsynchronizedAppenderBase<ILoggingEvent> {
    /** Maximum lines queued for standard output; at 300 bytes per line about 600 KB. */
    private static final int MAX_QUEUED_LINES = 2_048;

    /** Capacity of the queue that is reserved for warnings and errors. */
    private static final int RESERVED_LINES = 512;

    /** Time for which lines are collected after the first one of a batch. */
    private static final long BATCH_MILLIS = 100;

    private static final int MAX_BATCH_LINES = 256;
    private static final long STOP_TIMEOUT_MILLIS = 1_000;

    private final Encoder<ILoggingEvent> encoder;
    private final BlockingQueue<ILoggingEvent> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final AtomicLong droppedLines = new AtomicLong();
    private final Thread writer = new Thread(this::run, "log-writer");

    BatchAppender(Encoder<ILoggingEvent> encoder) {
        this.encoder = encoder;
        writer.setDaemon(true);
    }

    @Override
    public void start() {
        super.start();
        writer.start();
    }

    /** Writes the queued lines, for a limited time, and stops. */
    @Override
    public void stop() {
        if (!isStarted()) {
            return;
        }
        super.stop();
        writer.interrupt();
        try {
            writer.join(STOP_TIMEOUT_MILLIS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the number of lines that did not fit the queue and resets it to zero. */
    long drainDroppedLines() {
        return droppedLines.getAndSet(0);
    }

    @Override
    protected void append(ILoggingEvent event) {
        boolean important = event.getLevel().isGreaterOrEqual(Level.WARN);
        event.prepareForDeferredProcessing();
        boolean accepted =
                (important || queue.remainingCapacity() > RESERVED_LINES) && queue.offer(event);
        if (!accepted) {
            droppedLines.incrementAndGet();
        }
    }

    private void run() {
        Deque<ILoggingEvent> batch = new ArrayDeque<>();
        while (isStarted()) {
            try {
                batch.add(queue.take());
                TimeUnit.MILLISECONDS.sleep(BATCH_MILLIS);
            } catch (InterruptedException stopped) {
                break;
            }
            writeQueued(batch);
        }
        writeQueued(batch);
    }

    private void writeQueued(Deque<ILoggingEvent> batch) {
        do {
            queue.drainTo(batch, MAX_BATCH_LINES);
            write(batch);
        } while (!queue.isEmpty());
    }

    private void write(Deque<ILoggingEvent> batch) {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        while (!batch.isEmpty()) {
            text.writeBytes(encoder.encode(batch.poll()));
        }
        PrintStream output = System.out;
        output.write(text.toByteArray(), 0, text.size());
        output.flush();
    }
}
