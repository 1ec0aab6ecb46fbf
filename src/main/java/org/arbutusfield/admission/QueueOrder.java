package org.arbutusfield.admission;

/** Rank of a waiting request within its priority; lower goes first. */
@FunctionalInterface
public interface QueueOrder {
    /** First come, first served. */
    QueueOrder FIFO = (arrivalNanos, deadlineNanos) -> arrivalNanos;

    /** Earliest deadline first. */
    QueueOrder EARLIEST_DEADLINE = (arrivalNanos, deadlineNanos) -> deadlineNanos;

    /**
     * The rank of a request.
     *
     * @param arrivalNanos when the broker received it
     * @param deadlineNanos its deadline on the broker's clock
     */
    long rank(long arrivalNanos, long deadlineNanos);
}
