package org.arbutusfield.proxy;

import java.util.Optional;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/**
 * The failed attempts and the end of one exchange: the problem document that a caller gets in place of a response, and
 * the record and release of all that the exchange holds. Knows whether the request certainly had no effect. Confined to
 * the request's event loop.
 */
final class ExchangeEnd {
    private final CallerRequest caller;
    private final ProxyContext context;
    private final RequestHead head;
    private final RequestBody body;
    private final AttemptHistory history;
    private final RequestAdmission admission;
    private final RequestRecordBuilder recordBuilder;
    private long reservedForHead;
    private boolean notRun;

    private ExchangeEnd(
            CallerRequest caller,
            ProxyContext context,
            RequestHead head,
            RequestBody body,
            AttemptHistory history,
            RequestAdmission admission,
            RequestRecordBuilder recordBuilder) {
        this.caller = caller;
        this.context = context;
        this.head = head;
        this.body = body;
        this.history = history;
        this.admission = admission;
        this.recordBuilder = recordBuilder;
    }

    static ExchangeEnd of(
            CallerRequest caller,
            ProxyContext context,
            RequestHead head,
            RequestBody body,
            AttemptHistory history,
            RequestAdmission admission,
            RequestRecordBuilder recordBuilder) {
        return new ExchangeEnd(caller, context, head, body, history, admission, recordBuilder);
    }

    /** Records that the caller left, and whether the request can't have been sent until then. */
    void callerLeft(boolean certainlyNotRun) {
        notRun = certainlyNotRun;
    }

    /** Reserves what the request holds until the end; returns false if the host's buffers have no room for it. */
    boolean acquireBuffers() {
        long bytes = HeadMemory.of(head.headers());
        if (!context.headBuffers().tryAdd(bytes)) {
            return false;
        }
        reservedForHead = bytes;
        return body.acquireBuffers(head);
    }

    /** Records an attempt that ended without a response to relay. */
    void attemptFailed(Attempt attempt, Failure failure) {
        String target = attempt.target().name();
        history.attemptFailed(attempt, failure, failure.notRun());
        admission.requestCount().attemptFailed(attempt.target(), failure, attempt.sent());
        context.components().observer().attemptFailed(head.requestId(), target, failure, failure.notRun());
    }

    /** Writes the problem document of a failure, and returns the failure that it names. */
    Failure writeProblem(Failure failure) {
        Failure reported = history.failureForCaller(failure);
        notRun = reported.notRun();
        recordBuilder.failureReported(reported.code());
        caller.writeProblem(reported, head.requestId(), body.ended());
        return reported;
    }

    /**
     * Records the exchange, releases what it holds, and lets its connection go on.
     *
     * @param result how it ended for the caller
     * @param code code of the failure reported to the caller, if any
     * @param relay the upstream's response, if one was relayed
     */
    void finish(RequestRecord.Result result, Optional<ErrorCode> code, Optional<ResponseRelay> relay) {
        admission.finish(keyOutcome(relay));
        long relayedBytes = relay.map(ResponseRelay::relayedBytes).orElse(0L);
        RequestRecord record =
                recordBuilder.record(result, code, notRun, history.retries(), body.received(), relayedBytes);
        boolean reusable = body.ended();
        body.release();
        context.headBuffers().remove(reservedForHead);
        relay.ifPresent(ResponseRelay::release);
        context.components().observer().finished(record);
        // Last, because the host counts the request as in progress until then.
        caller.exchangeDone(reusable);
    }

    private KeyOutcome keyOutcome(Optional<ResponseRelay> relay) {
        return relay.map(relayed -> KeyOutcome.answered(relayed.status()))
                .orElseGet(() -> notRun ? KeyOutcome.notRun() : KeyOutcome.unknown());
    }
}
