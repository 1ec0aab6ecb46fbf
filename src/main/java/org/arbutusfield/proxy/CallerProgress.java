package org.arbutusfield.proxy;

/** Watches whether the caller of one request reads its response. Confined to the request's event loop. */
final class CallerProgress {
    private final CallerRequest caller;
    private final ProxyContext context;
    private final ExchangeDeadline deadline;
    private long writtenAtStart;

    private CallerProgress(CallerRequest caller, ProxyContext context, ExchangeDeadline deadline) {
        this.caller = caller;
        this.context = context;
        this.deadline = deadline;
    }

    static CallerProgress of(CallerRequest caller, ProxyContext context, ExchangeDeadline deadline) {
        return new CallerProgress(caller, context, deadline);
    }

    /** Sets the timer to the time within which the caller must read something. */
    void start() {
        writtenAtStart = caller.writtenBytes();
        deadline.await(context.limits().writeTimeout());
    }

    /** Called when the timer expired; true if the caller has read nothing, otherwise the timer is set again. */
    boolean stalled() {
        // While it awaits its turn, the caller can't have read anything; the limits of earlier requests bound the wait.
        if (!caller.awaitsTurn() && caller.writtenBytes() <= writtenAtStart) {
            return true;
        }
        start();
        return false;
    }
}
