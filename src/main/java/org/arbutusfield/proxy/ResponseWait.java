package org.arbutusfield.proxy;

import java.time.Duration;

/**
 * Sets the timer of a request that was sent and has no response yet: while the body is on its way, for the next part of
 * the body; then until the deadline, or until another upstream should be asked. Confined to the request's event loop.
 */
final class ResponseWait {
    private static final int MIN_BODY_BYTES_PER_TIMEOUT = 1 << 10;

    private final CallerRequest caller;
    private final ProxyContext context;
    private final RequestHead head;
    private final RequestBody body;
    private long receivedAtStart;

    private ResponseWait(CallerRequest caller, ProxyContext context, RequestHead head, RequestBody body) {
        this.caller = caller;
        this.context = context;
        this.head = head;
        this.body = body;
    }

    static ResponseWait of(CallerRequest caller, ProxyContext context, RequestHead head, RequestBody body) {
        return new ResponseWait(caller, context, head, body);
    }

    /**
     * Starts to wait.
     *
     * @param attempt the attempt that sent the request
     * @param deadlineNanos monotonic time at which the response must begin, in nanoseconds
     */
    void start(Attempt attempt, long deadlineNanos) {
        long now = System.nanoTime();
        if (!body.ended()) {
            receivedAtStart = body.received();
            caller.timer().set(now + context.limits().bodyTimeout().toNanos());
            return;
        }
        boolean leaveTimeForRetry =
                attempt.onReusedConnection() && head.requestClass().repeatable() && body.replayable();
        if (!leaveTimeForRetry) {
            caller.timer().set(deadlineNanos);
            return;
        }
        Duration remaining = Duration.ofNanos(Math.max(0, deadlineNanos - now));
        Duration patience = context.responseTimes().patience(head, remaining, now);
        caller.timer().set(now + patience.toNanos());
    }

    /** True if the caller has sent enough of the body since the start to be given more time. */
    boolean bodyProgresses() {
        return body.received() - receivedAtStart >= MIN_BODY_BYTES_PER_TIMEOUT;
    }
}
