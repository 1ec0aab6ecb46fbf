package org.arbutusfield.log;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;

/**
 * Writes lines to a stream in batches, on its own thread.
 *
 * <p>Problem: a process that writes each line immediately pays a system call and a thread switch per line, and blocks
 * if its output is not read.
 *
 * <p>Idea: callers append to a bounded buffer. The thread wakes up at the first line, waits briefly for more, and
 * writes the whole buffer with one call.
 *
 * <p>Invariants: a caller never waits for the stream. Lines are written in the order in which they were accepted. Lines
 * that do not fit into the buffer are dropped and counted, and the count is written with the next batch.
 */
final class LineWriter {
    private final OutputStream stream;
    private final int capacityChars;
    private final Duration batchDelay;
    private final LongFunction<String> droppedLine;
    private final Object lock = new Object();
    private final Thread thread = new Thread(this::run, "log-writer");
    private StringBuilder pending = new StringBuilder();
    private long dropped;
    private boolean writeNow;
    private boolean writing;

    private LineWriter(OutputStream stream, int capacityChars, Duration batchDelay, LongFunction<String> droppedLine) {
        this.stream = stream;
        this.capacityChars = capacityChars;
        this.batchDelay = batchDelay;
        this.droppedLine = droppedLine;
    }

    /**
     * Starts a writer.
     *
     * @param stream receives the lines as UTF-8
     * @param capacityChars maximum number of characters that wait to be written
     * @param batchDelay time for which lines are collected into a batch
     * @param droppedLine creates the line that reports the number of dropped lines
     */
    static LineWriter start(
            OutputStream stream, int capacityChars, Duration batchDelay, LongFunction<String> droppedLine) {
        LineWriter writer = new LineWriter(stream, capacityChars, batchDelay, droppedLine);
        writer.thread.setDaemon(true);
        writer.thread.start();
        return writer;
    }

    /**
     * Accepts a line, or drops and counts it if the buffer is full.
     *
     * @param line the line, including its line end
     * @param immediately true to write without waiting for more lines
     */
    void write(String line, boolean immediately) {
        synchronized (lock) {
            if (pending.length() + line.length() > capacityChars) {
                dropped++;
                return;
            }
            boolean first = pending.length() == 0;
            pending.append(line);
            writeNow |= immediately;
            if (first || immediately) {
                lock.notifyAll();
            }
        }
    }

    /**
     * Writes all waiting lines without delay, and waits until they are written.
     *
     * @param limit maximum time to wait
     */
    void flush(Duration limit) {
        long deadline = System.nanoTime() + limit.toNanos();
        synchronized (lock) {
            writeNow = true;
            lock.notifyAll();
            long remaining = limit.toNanos();
            while (remaining > 0 && (pending.length() > 0 || dropped > 0 || writing)) {
                try {
                    TimeUnit.NANOSECONDS.timedWait(lock, remaining);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return;
                }
                remaining = deadline - System.nanoTime();
            }
        }
    }

    private void run() {
        while (true) {
            try {
                awaitBatch();
                stream.write(takeBatch().getBytes(StandardCharsets.UTF_8));
                stream.flush();
                batchWritten();
            } catch (IOException | InterruptedException e) {
                // A broken log stream cannot be reported anywhere; later lines fill the buffer and are then dropped.
                return;
            }
        }
    }

    private void awaitBatch() throws InterruptedException {
        synchronized (lock) {
            while (pending.length() == 0 && dropped == 0) {
                lock.wait();
            }
            long deadline = System.nanoTime() + batchDelay.toNanos();
            long remaining = batchDelay.toNanos();
            while (remaining > 0 && !writeNow) {
                TimeUnit.NANOSECONDS.timedWait(lock, remaining);
                remaining = deadline - System.nanoTime();
            }
        }
    }

    private String takeBatch() {
        synchronized (lock) {
            StringBuilder batch = pending;
            pending = new StringBuilder();
            if (dropped > 0) {
                batch.append(droppedLine.apply(dropped));
            }
            dropped = 0;
            writeNow = false;
            writing = true;
            return batch.toString();
        }
    }

    private void batchWritten() {
        synchronized (lock) {
            writing = false;
            lock.notifyAll();
        }
    }
}
