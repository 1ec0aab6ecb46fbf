package org.arbutusfield.proxy;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts the memory that a host holds for all of its requests, in bytes, against a limit.
 *
 * <p>What counts is what is held, not what is carried: the capacity of buffers and the objects around them. Whoever
 * adds without asking must see afterwards that the budget is {@link #withinLimit}, and otherwise give up what it holds.
 *
 * <p>Invariant: however many callers there are and whatever they send, at most the limit is held, and one part of a
 * message for each event loop and for each upload that has reserved its share. Not counted are the bytes of one read
 * that a connection holds before they are decoded, and the head of a request that waits for its turn.
 *
 * <p>Thread-safe.
 */
final class BufferBudget {
    private final long limit;
    private final AtomicLong held = new AtomicLong();
    private final AtomicLong peak = new AtomicLong();

    private BufferBudget(long limit) {
        this.limit = limit;
    }

    static BufferBudget of(long limitBytes) {
        return new BufferBudget(limitBytes);
    }

    /** Adds the bytes unless that would exceed the limit; returns whether they were added. */
    boolean tryAdd(long bytes) {
        long totalBytes = held.addAndGet(bytes);
        if (totalBytes > limit) {
            held.addAndGet(-bytes);
            return false;
        }
        raisePeak(totalBytes);
        return true;
    }

    /** Adds the bytes even if that exceeds the limit. */
    void add(long bytes) {
        raisePeak(held.addAndGet(bytes));
    }

    void remove(long bytes) {
        held.addAndGet(-bytes);
    }

    /** False while more is held than the limit. */
    boolean withinLimit() {
        return held.get() <= limit;
    }

    boolean exhausted() {
        return held.get() >= limit;
    }

    long held() {
        return held.get();
    }

    long peak() {
        return peak.get();
    }

    private void raisePeak(long totalBytes) {
        if (totalBytes > peak.get()) {
            peak.accumulateAndGet(totalBytes, Math::max);
        }
    }
}
