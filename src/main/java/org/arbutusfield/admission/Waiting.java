package org.arbutusfield.admission;

import java.util.Comparator;

/**
 * A request in the queue.
 *
 * @param request the question
 * @param rank order within the priority, from {@link QueueOrder}
 * @param sequence breaks ties by order of arrival
 * @param latestStartNanos time after which the request can no longer finish within its deadline
 * @param deadlineNanos its deadline
 */
record Waiting(SlotRequest request, long rank, long sequence, long latestStartNanos, long deadlineNanos) {
    static final Comparator<Waiting> BY_RANK =
            Comparator.comparingLong(Waiting::rank).thenComparingLong(Waiting::sequence);
    static final Comparator<Waiting> BY_LATEST_START =
            Comparator.comparingLong(Waiting::latestStartNanos).thenComparingLong(Waiting::sequence);
}
