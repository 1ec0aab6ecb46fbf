package org.arbutusfield.admission;

/** Computes the rank of a queued request within its priority; lower ranks are served first. */
@FunctionalInterface
public interface QueueOrder {
    /** First come, first served. */
    QueueOrder FIFO = (arrivalNanos, deadlineNanos) -> arrivalNanos;

    /** Earliest deadline first. */
    QueueOrder EARLIEST_DEADLINE = (arrivalNanos, deadlineNanos) -> deadlineNanos;

    /**
     * Returns the rank of a request.
     *
     * @param arrivalNanos when the broker received it
     * @param deadlineNanos its deadline on the broker's clock
     */
    long rank(long arrivalNanos, long deadlineNanos);
}
