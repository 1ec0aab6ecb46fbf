package org.arbutusfield.proxy;

/** Watches whether the caller of one request reads its response. Uses the request's timer, on its event loop. */
final class CallerProgress {
    private final CallerRequest caller;
    private final ProxyContext context;
    private long writtenAtStart;

    private CallerProgress(CallerRequest caller, ProxyContext context) {
        this.caller = caller;
        this.context = context;
    }

    static CallerProgress of(CallerRequest caller, ProxyContext context) {
        return new CallerProgress(caller, context);
    }

    /** Sets the timer to the time within which the caller must read something. */
    void start() {
        writtenAtStart = caller.writtenBytes();
        caller.timer().set(System.nanoTime() + context.limits().writeTimeout().toNanos());
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
