package org.arbutusfield.proxy;

import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.misc.LogValue;

/**
 * Decides whether one request may be sent once more, and acquires the right to it.
 *
 * <p>Problem: an upstream that is silent may have been lost without notice, or may be at work. Who closes its
 * connection first and asks for a retry afterwards loses the response for nothing where the retry is denied.
 *
 * <p>Idea: a retry in place of an attempt that may still succeed is acquired before that attempt is given up. Where it
 * isn't allowed, the upstream keeps the time that is left.
 *
 * <p>Invariants: a right that was acquired is used. Once the host stops, no attempt that was sent is given up: the
 * caller would get this host's answer in place of the upstream's.
 *
 * <p>Example: an upstream has been silent for half of the time, and the host's retries are used up. The request waits,
 * and its response comes a second later.
 *
 * <p>Confined to the request's event loop.
 */
final class RetryCheck {
    private static final Logger LOG = LogManager.getLogger(RetryCheck.class);

    private final ProxyContext context;
    private final RequestHead head;
    private final RequestBody body;
    private final ExchangeDeadline deadline;
    private final AttemptHistory history;
    private final CrashCheck crashCheck;
    private final StopCheck stopCheck;

    private RetryCheck(
            ProxyContext context,
            RequestHead head,
            RequestBody body,
            ExchangeDeadline deadline,
            AttemptHistory history,
            CrashCheck crashCheck,
            StopCheck stopCheck) {
        this.context = context;
        this.head = head;
        this.body = body;
        this.deadline = deadline;
        this.history = history;
        this.crashCheck = crashCheck;
        this.stopCheck = stopCheck;
    }

    static RetryCheck of(
            ProxyContext context,
            RequestHead head,
            RequestBody body,
            ExchangeDeadline deadline,
            AttemptHistory history,
            CrashCheck crashCheck,
            StopCheck stopCheck) {
        return new RetryCheck(context, head, body, deadline, history, crashCheck, stopCheck);
    }

    /**
     * Acquires the right to send the request again after an attempt that has ended and is in the history.
     *
     * @param notRun whether that attempt certainly did not run the request
     */
    boolean acquireAfterFailure(boolean notRun) {
        return !deadline.remaining().isZero()
                && (notRun || crashCheck.mayRepeat())
                && stopCheck.refusal().isEmpty()
                && history.acquireRetry(notRun, body);
    }

    /** Acquires the right to send the request again in place of an attempt that is silent and may be at work. */
    boolean acquireInPlaceOf(Attempt silent) {
        return logged(silent, mayGiveUp() && history.acquireRetryInPlaceOfAttempt(body));
    }

    /** Acquires the right to request the rest of a response that broke off; empty if it may not be requested. */
    Optional<Resumption> acquireResumption(ResponseRelay relay) {
        return relay.remainder().filter(rest -> crashCheck.mayRepeat() && history.acquireResumption());
    }

    /** The same in place of an attempt whose response pauses. */
    Optional<Resumption> acquireResumptionInPlaceOf(Attempt silent, ResponseRelay relay) {
        Optional<Resumption> rest = mayGiveUp() ? acquireResumption(relay) : Optional.empty();
        logged(silent, rest.isPresent());
        return rest;
    }

    private boolean mayGiveUp() {
        return context.stop().isEmpty() && !deadline.remaining().isZero() && crashCheck.mayRepeat();
    }

    private boolean logged(Attempt silent, boolean acquired) {
        LOG.info(
                "event=upstream_silent id={} upstream={} given_up={} stopping={} left_ms={}",
                LogValue.of(head.requestId()),
                LogValue.of(silent.target().name()),
                acquired,
                context.stop().isPresent(),
                deadline.remaining().toMillis());
        return acquired;
    }
}
