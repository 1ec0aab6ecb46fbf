package org.arbutusfield.admission;

/** A request that waits for a slot, with the number of times its question was moved to another broker. */
final class PendingRequest {
    private static final char SEPARATOR = '~';

    private final SlotRequest request;
    private final long deadlineNanos;
    private int moves;
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

    /** The id of the present question; each move gets its own, so that a late grant of an earlier one is known. */
    String askId() {
        return moves == 0 ? request.requestId() : request.requestId() + SEPARATOR + moves;
    }

    /** True when the request may run on a slot that its host has. */
    boolean permitted() {
        return permitted;
    }

    void permit() {
        permitted = true;
    }

    void move() {
        permitted = false;
        moves++;
    }

    /** The present question with the time that is left. */
    SlotRequest question(long nowNanos) {
        return new SlotRequest(
                askId(),
                request.host(),
                request.hostIncarnation(),
                request.failureDomain(),
                request.service(),
                request.requestClass(),
                request.priority(),
                deadlineNanos - nowNanos);
    }
}
