package org.arbutusfield.proxy;

import java.time.Duration;

/**
 * Watches a response while it is relayed: it must end by the deadline, its upstream must not fall silent, and its
 * caller must read it. Sets the timer of the request. Confined to the request's event loop.
 */
final class ResponseProgress {
    private final CallerRequest caller;
    private final ProxyContext context;
    private final ExchangeDeadline deadline;
    private final CallerProgress callerProgress;

    private ResponseProgress(CallerRequest caller, ProxyContext context, ExchangeDeadline deadline) {
        this.caller = caller;
        this.context = context;
        this.deadline = deadline;
        callerProgress = CallerProgress.of(caller, context, deadline);
    }

    /** What holds when the timer expires. */
    enum State {
        /** The response is on its way; the timer is set again. */
        CONTINUES,
        /** The exchange must end, or no upstream is left to continue the response. */
        ENDS,
        /** The upstream has sent nothing for too long. */
        UPSTREAM_SILENT,
        /** The caller has read nothing for too long. */
        CALLER_STALLED
    }

    static ResponseProgress of(CallerRequest caller, ProxyContext context, ExchangeDeadline deadline) {
        return new ResponseProgress(caller, context, deadline);
    }

    /** Sets the timer for the next part of the response. */
    void awaitUpstream() {
        callerProgress.start();
        if (caller.acceptsMore()) {
            deadline.await(silenceLimit());
        }
    }

    /** Sets the timer for the caller to read what was written. */
    void awaitCaller() {
        callerProgress.start();
    }

    /** Called when the timer expired while the response was relayed from an attempt, which may be null. */
    State state(Attempt attempt) {
        if (deadline.passed() || attempt == null || !attempt.sent()) {
            return State.ENDS;
        }
        if (!caller.acceptsMore()) {
            return callerState();
        }
        if (context.stop().isPresent()) {
            // No other upstream is asked any more.
            deadline.awaitEnd();
            return State.CONTINUES;
        }
        long silenceEndNanos = attempt.lastProgressNanos() + silenceLimit().toNanos();
        if (silenceEndNanos - System.nanoTime() <= 0) {
            return State.UPSTREAM_SILENT;
        }
        deadline.awaitUntil(silenceEndNanos);
        return State.CONTINUES;
    }

    /** Called when the timer expired while the caller was awaited. */
    State callerState() {
        return callerProgress.stalled() ? State.CALLER_STALLED : State.CONTINUES;
    }

    private Duration silenceLimit() {
        return context.limits().progressTimeout();
    }
}
