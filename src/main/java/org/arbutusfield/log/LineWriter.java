package org.arbutusfield.log;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;

/**
 * Writes lines to a stream in batches, on a thread of its own.
 *
 * <p>Problem: a process that writes each line at once pays a system call and a thread switch for it, and stalls when
 * nobody reads its output.
 *
 * <p>Idea: callers append to a bounded buffer. The thread wakes at the first line, waits a moment for more, takes the
 * whole buffer and writes it with one call.
 *
 * <p>Invariants: a caller never waits for the stream. Lines are written in the order in which they were accepted. Lines
 * that found the buffer full are counted, and the count is written with the next batch.
 */
final class LineWriter {
    private final OutputStream stream;
    private final int capacity;
    private final Duration pause;
    private final LongFunction<String> droppedLine;
    private final Object lock = new Object();
    private final Thread thread = new Thread(this::run, "log-writer");
    private StringBuilder pending = new StringBuilder();
    private long dropped;
    private boolean urgent;
    private boolean writing;

    private LineWriter(OutputStream stream, int capacity, Duration pause, LongFunction<String> droppedLine) {
        this.stream = stream;
        this.capacity = capacity;
        this.pause = pause;
        this.droppedLine = droppedLine;
    }

    /**
     * Starts a writer.
     *
     * @param stream gets the lines as UTF-8
     * @param capacity characters that may wait to be written
     * @param pause time for which lines are gathered
     * @param droppedLine the line that tells how many lines were dropped
     */
    static LineWriter start(OutputStream stream, int capacity, Duration pause, LongFunction<String> droppedLine) {
        LineWriter writer = new LineWriter(stream, capacity, pause, droppedLine);
        writer.thread.setDaemon(true);
        writer.thread.start();
        return writer;
    }

    /**
     * Accepts a line, or drops and counts it when too many wait.
     *
     * @param line the line with its line end
     * @param soon true to write without waiting for more lines
     */
    void write(String line, boolean soon) {
        synchronized (lock) {
            if (pending.length() + line.length() > capacity) {
                dropped++;
                return;
            }
            boolean first = pending.length() == 0;
            pending.append(line);
            urgent |= soon;
            if (first || soon) {
                lock.notifyAll();
            }
        }
    }

    /**
     * Writes what waits at once.
     *
     * @param limit longest time to wait for a stream that doesn't take it
     */
    void flush(Duration limit) {
        long end = System.nanoTime() + limit.toNanos();
        synchronized (lock) {
            urgent = true;
            lock.notifyAll();
            long left = limit.toNanos();
            while (left > 0 && (pending.length() > 0 || dropped > 0 || writing)) {
                try {
                    TimeUnit.NANOSECONDS.timedWait(lock, left);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return;
                }
                left = end - System.nanoTime();
            }
        }
    }

    private void run() {
        while (true) {
            try {
                awaitBatch();
                stream.write(take().getBytes(StandardCharsets.UTF_8));
                stream.flush();
                written();
            } catch (IOException | InterruptedException e) {
                // Nowhere is left to report a broken log stream; later lines are dropped and counted.
                return;
            }
        }
    }

    private void awaitBatch() throws InterruptedException {
        synchronized (lock) {
            while (pending.length() == 0 && dropped == 0) {
                lock.wait();
            }
            long end = System.nanoTime() + pause.toNanos();
            long left = pause.toNanos();
            while (left > 0 && !urgent) {
                TimeUnit.NANOSECONDS.timedWait(lock, left);
                left = end - System.nanoTime();
            }
        }
    }

    private String take() {
        synchronized (lock) {
            StringBuilder batch = pending;
            pending = new StringBuilder();
            if (dropped > 0) {
                batch.append(droppedLine.apply(dropped));
            }
            dropped = 0;
            urgent = false;
            writing = true;
            return batch.toString();
        }
    }

    private void written() {
        synchronized (lock) {
            writing = false;
            lock.notifyAll();
        }
    }
}
