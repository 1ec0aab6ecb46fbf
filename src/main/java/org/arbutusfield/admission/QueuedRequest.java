package org.arbutusfield.admission;

import java.util.Comparator;

/**
 * A request in the queue.
 *
 * @param request the slot request
 * @param rank order within the priority, from {@link QueueOrder}
 * @param sequence breaks ties by order of arrival
 * @param latestStartNanos time after which the request can no longer finish within its deadline
 * @param deadlineNanos its deadline
 */
record QueuedRequest(SlotRequest request, long rank, long sequence, long latestStartNanos, long deadlineNanos) {
    static final Comparator<QueuedRequest> BY_RANK =
            Comparator.comparingLong(QueuedRequest::rank).thenComparingLong(QueuedRequest::sequence);
    static final Comparator<QueuedRequest> BY_LATEST_START =
            Comparator.comparingLong(QueuedRequest::latestStartNanos).thenComparingLong(QueuedRequest::sequence);
}
