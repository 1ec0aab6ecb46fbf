package org.arbutusfield.admission;

/** A request that waits for a slot, with the number of times it was resubmitted to another broker. */
final class PendingRequest {
    private static final char ATTEMPT_SEPARATOR = '~';

    private final SlotRequest request;
    private final long deadlineNanos;
    private int resubmissions;
    private boolean permitted;

    private PendingRequest(SlotRequest request, long deadlineNanos) {
        this.request = request;
        this.deadlineNanos = deadlineNanos;
    }

    static PendingRequest of(SlotRequest request, long nowNanos) {
        return new PendingRequest(request, nowNanos + request.remainingNanos());
    }

    SlotRequest request() {
        return request;
    }

    long deadlineNanos() {
        return deadlineNanos;
    }

    /**
     * Id of the present attempt. Each resubmission gets its own id, so that a late grant for an earlier attempt can be
     * recognized.
     */
    String attemptId() {
        return resubmissions == 0 ? request.requestId() : request.requestId() + ATTEMPT_SEPARATOR + resubmissions;
    }

    /** True if the request may run on a slot that its host already holds. */
    boolean permitted() {
        return permitted;
    }

    void permit() {
        permitted = true;
    }

    void resubmit() {
        permitted = false;
        resubmissions++;
    }

    /** The slot request to send for the present attempt, with the remaining time. */
    SlotRequest toSlotRequest(long nowNanos) {
        return new SlotRequest(
                attemptId(),
                request.host(),
                request.hostIncarnation(),
                request.failureDomain(),
                request.service(),
                request.requestClass(),
                request.priority(),
                deadlineNanos - nowNanos);
    }
}
