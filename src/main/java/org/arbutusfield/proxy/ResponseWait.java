package org.arbutusfield.proxy;

/**
 * Sets the timer of a request that was sent and has no response yet: while the body is on its way, for the next part of
 * the body; then until the deadline, or until another upstream should be asked, unless the host stops. Confined to the
 * request's event loop.
 */
final class ResponseWait {
    private static final int MIN_BODY_BYTES_PER_TIMEOUT = 1 << 10;

    private final ExchangeDeadline deadline;
    private final ProxyContext context;
    private final RequestHead head;
    private final RequestBody body;
    private long receivedAtStart;

    private ResponseWait(ExchangeDeadline deadline, ProxyContext context, RequestHead head, RequestBody body) {
        this.deadline = deadline;
        this.context = context;
        this.head = head;
        this.body = body;
    }

    /** What holds when the timer expires. */
    enum State {
        /** The body is on its way; the timer is set again. */
        CONTINUES,
        /** The exchange must end. */
        ENDS,
        /** The upstream has the whole request and has sent nothing; another one may be asked. */
        UPSTREAM_SILENT,
        /** The upstream doesn't read the body. */
        UPSTREAM_NOT_READING,
        /** The caller doesn't send the rest of the body. */
        CALLER_SILENT
    }

    static ResponseWait of(ExchangeDeadline deadline, ProxyContext context, RequestHead head, RequestBody body) {
        return new ResponseWait(deadline, context, head, body);
    }

    /**
     * Starts to wait, and again when the host stops: no other upstream is asked any more then, and the exchange may end
     * sooner.
     *
     * @param attempt the attempt that sent the request
     */
    void start(Attempt attempt) {
        if (!body.ended()) {
            receivedAtStart = body.received();
            deadline.await(context.limits().bodyTimeout());
            return;
        }
        boolean leaveTimeForRetry = attempt.onReusedConnection()
                && head.requestClass().repeatable()
                && body.replayable()
                && context.stop().isEmpty();
        if (!leaveTimeForRetry) {
            deadline.awaitEnd();
            return;
        }
        deadline.await(context.responseTimes().patience(head, deadline.remaining(), System.nanoTime()));
    }

    /** Called when the timer expired; it is set again if the body goes on arriving. */
    State state(Attempt attempt) {
        if (deadline.passed()) {
            return State.ENDS;
        }
        if (body.ended()) {
            return State.UPSTREAM_SILENT;
        }
        if (bodyProgresses()) {
            start(attempt);
            return State.CONTINUES;
        }
        return body.hasUnsent() ? State.UPSTREAM_NOT_READING : State.CALLER_SILENT;
    }

    /** True if the caller has sent enough of the body since the start to be given more time. */
    private boolean bodyProgresses() {
        return body.received() - receivedAtStart >= MIN_BODY_BYTES_PER_TIMEOUT;
    }
}
