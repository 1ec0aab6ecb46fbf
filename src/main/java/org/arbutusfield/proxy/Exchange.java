package org.arbutusfield.proxy;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import java.time.Duration;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.misc.LogValue;

/**
 * Handles one request for a service, from its head to the end of its response. Confined to the event loop of the
 * caller's connection.
 *
 * <p>Problem: a request passes through a claim, placements and several attempts, each of which may complete late, while
 * the caller may disconnect and the deadline may pass at any time. The caller must get exactly one final response, and
 * that response must state correctly whether the request was run.
 *
 * <p>Idea: one state machine on one thread. Results from other threads are moved to this thread and checked against the
 * current state. A small body is received completely before a placement is requested, so that a slow caller holds no
 * slot, an incomplete request is never run, and a retry can send the body again.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>The stage only moves forward, except that a retry goes back to {@code PLACE}.
 *   <li>An attempt whose outcome is unknown is recorded in the history, and from then on no failure states that the
 *       request was not run.
 *   <li>After an unknown outcome only a repeatable request is retried. Once a byte of a response was relayed, only the
 *       missing range of a download is requested again.
 *   <li>Each permit is released once, each claim is completed once, and each request is reported to the observer once.
 * </ul>
 *
 * <p>Example: a booking is placed at an upstream that refuses the connection. It was not run, so it is placed at
 * another upstream, which closes the connection after the request was sent. Now the outcome is unknown and a booking is
 * not repeatable, so the caller gets {@code UPSTREAM_LOST} with {@code notRun} false.
 */
final class Exchange implements RequestHandler {
    private static final Logger LOG = LogManager.getLogger(Exchange.class);

    private final CallerRequest caller;
    private final ProxyContext context;
    private final RequestHead head;
    private final RequestBody body;
    private final RequestRecordBuilder recordBuilder;
    private final RequestAdmission admission;
    private final AttemptHistory history;
    private final CrashCheck crashCheck;
    private final ResponseProgress progress;
    private final ResponseWait responseWait;
    private final ExchangeDeadline deadline;
    private final StopCheck stopCheck;
    private final RetryCheck retryCheck;
    private final ExchangeEnd end;
    private Stage stage = Stage.BODY;
    private Attempt attempt;
    private Optional<Resumption> resumption = Optional.empty();
    private ResponseRelay relay;

    private Exchange(CallerRequest caller, ProxyContext context, RequestHead head, long startNanos) {
        this.caller = caller;
        this.context = context;
        this.head = head;
        body = RequestBody.of(context.limits().replayBytes(), context.requestBuffers());
        history = AttemptHistory.of(head, context);
        crashCheck = CrashCheck.of(context, caller, head, body);
        deadline = ExchangeDeadline.of(caller.timer(), startNanos, head.deadline(), context::stop);
        stopCheck = StopCheck.of(context, head, deadline);
        retryCheck = RetryCheck.of(context, head, body, deadline, history, crashCheck, stopCheck);
        progress = ResponseProgress.of(caller, context, deadline);
        responseWait = ResponseWait.of(deadline, context, head, body);
        recordBuilder = RequestRecordBuilder.of(head, startNanos);
        admission = RequestAdmission.of(context.components(), head, caller);
        end = ExchangeEnd.of(caller, context, head, body, history, admission, recordBuilder);
    }

    static Exchange of(CallerRequest caller, ProxyContext context, RequestHead head, long startNanos) {
        return new Exchange(caller, context, head, startNanos);
    }

    /** Starts to receive the body, or claims and places the request immediately if the body is too large to keep. */
    void start() {
        if (!end.acquireBuffers()) {
            fail(Failure.of(ErrorCode.OVERLOADED, "buffers"));
            return;
        }
        stopCheck.awaitLatestStart();
        if (head.upload() || head.length().orElse(0) > context.limits().replayBytes()) {
            claim();
            return;
        }
        demandBody();
    }

    EventLoop loop() {
        return caller.loop();
    }

    /** Time left until the exchange ends. */
    Duration remaining() {
        return deadline.remaining();
    }

    /** The range that the current attempt requests, if it resumes a download. */
    Optional<Resumption> resumption() {
        return resumption;
    }

    /** The team of the request. */
    RequestTeam team() {
        return admission.team();
    }

    /** Requests more of the body from the caller. */
    void demandBody() {
        caller.demandBody(head.expectsContinue());
    }

    @Override
    public void bodyPart(HttpContent part) {
        if (stage.compareTo(Stage.FLUSH) >= 0) {
            part.release();
            return;
        }
        Optional<ErrorCode> fault = body.receive(part, context.limits().bodyBytes());
        if (body.ended() && stage == Stage.SENT) {
            responseWait.start(attempt);
        }
        if (fault.isPresent()) {
            rejectBody(fault.get());
            return;
        }
        if (stage == Stage.BODY) {
            if (body.ended() || body.tooLargeToKeep()) {
                claim();
            } else {
                demandBody();
            }
        } else if (attempt != null) {
            attempt.bodyReceived();
        }
    }

    @Override
    public void callerGone() {
        if (stage == Stage.DONE) {
            return;
        }
        if (stage != Stage.FLUSH) {
            end.callerLeft(!mayHaveRun());
        }
        cancelAttempt();
        finish(RequestRecord.Result.CALLER_GONE, Optional.of(ErrorCode.CALLER_GONE));
    }

    @Override
    public void writabilityChanged() {
        if (stage == Stage.RESPONSE && attempt != null) {
            attempt.setReading(caller.acceptsMore());
            progress.awaitUpstream();
        }
    }

    @Override
    public void expired() {
        switch (stage) {
            case BODY, CLAIM, PLACE, CONNECT -> startTimerExpired();
            case SENT -> sentTimerExpired(responseWait.state(attempt));
            case RESPONSE -> progressTimerExpired(progress.state(attempt));
            case FLUSH -> progressTimerExpired(progress.callerState());
            default -> LOG.debug("event=late_expiry id={}", LogValue.of(head.requestId()));
        }
    }

    @Override
    public void hostStops() {
        switch (stage) {
            case BODY, CLAIM, PLACE, CONNECT -> stopCheck.awaitLatestStart();
            case SENT -> responseWait.start(attempt);
            case RESPONSE -> deadline.bringForward();
            default -> {} // The response is complete; the caller may read it until the host ends.
        }
    }

    @Override
    public void hostEnds() {
        LOG.warn("event=cut_by_stop id={} stage={} sent={}", LogValue.of(head.requestId()), stage, mayHaveRun());
    }

    private void startTimerExpired() {
        Optional<Failure> refusal = stopCheck.refusal();
        if (refusal.isPresent()) {
            refused(refusal.get());
        } else if (!stopCheck.latestStartPassed()) {
            stopCheck.awaitLatestStart();
        } else if (stage == Stage.BODY) {
            fail(Failure.of(ErrorCode.REQUEST_TIMEOUT, "body"));
        } else {
            fail(Failure.of(ErrorCode.DEADLINE_PASSED, head.service().name()));
        }
    }

    private void claim() {
        if (!admission.needsClaim()) {
            place();
            return;
        }
        stage = Stage.CLAIM;
        admission.claim(body, failure -> failure.ifPresentOrElse(this::fail, this::place));
    }

    private void place() {
        Optional<Failure> refusal =
                admission.team().refusal().or(crashCheck::refusal).or(stopCheck::refusal);
        if (refusal.isPresent()) {
            refused(refusal.get());
            return;
        }
        stage = relay == null ? Stage.PLACE : Stage.RESPONSE;
        if (admission.needsCount()) {
            // The checks are repeated after the wait.
            admission.countAgainstLimit(remaining(), failure -> failure.ifPresentOrElse(this::refused, this::place));
            return;
        }
        attempt = null;
        recordBuilder.waitStarted();
        admission.place(remaining(), history.tried(), result -> {
            recordBuilder.waitEnded();
            result.peek(this::connect)
                    .peekLeft(failure -> refused(history.lastFailure().orElse(failure)));
        });
    }

    /** Ends the exchange without another attempt; nothing of the current one was sent. */
    void refused(Failure failure) {
        if (relay != null) {
            abortResponse();
        } else {
            fail(failure);
        }
    }

    private void connect(PlacementTarget target) {
        history.attemptStarted();
        recordBuilder.attemptStarted(target.name());
        if (relay == null) {
            stage = Stage.CONNECT;
        }
        attempt = Attempt.of(this, context, target, head, body, history.newConnectionOnly());
        attempt.start(context);
    }

    /** The reason for which the current attempt must not send the request, if there is one since it was placed. */
    Optional<Failure> refusalToSend(Attempt from) {
        return admission.team().refusal().or(crashCheck::refusal).or(() -> stopCheck.refusalAt(from));
    }

    /** Called when the current attempt starts to send the request. */
    void requestSending(Attempt from) {
        admission.requestCount().sending();
        if (relay == null) {
            stage = Stage.SENT;
            responseWait.start(from);
        }
    }

    /** Called when an attempt ended without a response to relay. */
    void attemptFailed(Attempt from, Failure failure) {
        end.attemptFailed(from, failure);
        if (relay != null) {
            resumeOrAbort();
        } else if (retryCheck.acquireAfterFailure(failure.notRun())) {
            retry();
        } else {
            fail(failure);
        }
    }

    /** Called with the head of a response. */
    void responseHead(Attempt from, HttpResponse response) {
        if (!ResponseCheck.isRelated(response, head)) {
            from.cancel(AttemptOutcome.CANCELLED);
            attemptFailed(from, from.failure(ErrorCode.UPSTREAM_PROTOCOL, "unrelated response"));
            return;
        }
        if (relay != null) {
            if (!resumption.orElseThrow().isContinuedBy(response)) {
                from.cancel(AttemptOutcome.COMPLETED);
                abortResponse();
            }
            return;
        }
        if (NotRunStatement.isIn(response, from.target(), context.components().headerNames())) {
            Failure refusal = NotRunStatement.failure(response, from.target());
            from.refused(refusal, response.headers().contains(ProxyHeaders.REQUEST_ID));
            attemptFailed(from, refusal);
            return;
        }
        if (!ResponseCheck.hasProof(response, context.components().headerNames())) {
            from.cancel(AttemptOutcome.FAILED);
            attemptFailed(from, from.failure(ErrorCode.UPSTREAM_PROTOCOL, "proof field missing"));
            return;
        }
        stage = Stage.RESPONSE;
        context.responseTimes().record(head, from.timeSinceSent(), System.nanoTime());
        recordBuilder.responseStarted(response.status().code());
        relay = ResponseRelay.begin(caller, head, response);
        progress.awaitUpstream();
    }

    /** Called with a part of the response body. */
    void responseContent(Attempt from, HttpContent content) {
        if (content instanceof LastHttpContent last) {
            responseEnded(from, last);
            return;
        }
        if (!relay.relayPart(content)) {
            from.cancel(AttemptOutcome.FAILED);
            abortResponse();
            return;
        }
        from.setReading(caller.acceptsMore());
    }

    /** Called when no more of the response is available for now. */
    void responseBatchEnded() {
        if (relay != null) {
            relay.batchEnded();
        }
    }

    /** Called when the connection was lost before the response was complete. */
    void responseLost(Attempt from, Failure failure) {
        if (failure.code() == ErrorCode.UPSTREAM_LOST) {
            crashCheck.connectionLost(from);
        }
        if (relay == null) {
            attemptFailed(from, failure);
            return;
        }
        history.responseBrokeOff(from.target().name());
        resumeOrAbort();
    }

    private void responseEnded(Attempt from, LastHttpContent last) {
        if (!relay.relayLast(last)) {
            from.cancel(AttemptOutcome.FAILED);
            abortResponse();
            return;
        }
        context.completionTimes().record(head, from.timeSinceSent(), System.nanoTime());
        from.release(AttemptOutcome.COMPLETED);
        crashCheck.answered(relay.status());
        awaitFlush(RequestRecord.Result.WHOLE, Optional.empty());
    }

    private void resumeOrAbort() {
        retryCheck.acquireResumption(relay).ifPresentOrElse(this::resume, this::abortResponse);
    }

    private void resume(Resumption rest) {
        resumption = Optional.of(rest);
        deadline.awaitEnd();
        place();
    }

    private void abortResponse() {
        LOG.warn("event=answer_cut id={} passed={}", LogValue.of(head.requestId()), relay.relayedBytes());
        cancelAttempt();
        caller.reset();
        finish(RequestRecord.Result.CUT, Optional.of(ErrorCode.UPSTREAM_LOST));
    }

    private void retry() {
        body.rewind();
        stopCheck.awaitLatestStart();
        place();
    }

    private void sentTimerExpired(ResponseWait.State state) {
        Attempt from = attempt;
        switch (state) {
            case ENDS -> sentRequestEnds(from);
            case UPSTREAM_SILENT -> connectionSilent(from, from.failure(ErrorCode.UPSTREAM_LOST, "no bytes received"));
            case UPSTREAM_NOT_READING -> connectionSilent(from, from.failure(ErrorCode.UPSTREAM_TIMEOUT, ""));
            case CALLER_SILENT -> rejectBody(ErrorCode.REQUEST_TIMEOUT);
            default -> {} // The body goes on arriving; the timer has been set again.
        }
    }

    /** Asks for a retry first, because the upstream may be at work; without one it has until the deadline. */
    private void connectionSilent(Attempt from, Failure failure) {
        if (!retryCheck.acquireInPlaceOf(from)) {
            deadline.awaitEnd();
            return;
        }
        from.closeSilentConnections();
        end.attemptFailed(from, failure);
        retry();
    }

    /** The same while the response is on its way. */
    private void responseSilent() {
        Optional<Resumption> rest = retryCheck.acquireResumptionInPlaceOf(attempt, relay);
        if (rest.isEmpty()) {
            deadline.awaitEnd();
            return;
        }
        attempt.closeSilentConnections();
        history.requireNewConnection();
        resume(rest.get());
    }

    private void sentRequestEnds(Attempt from) {
        if (!from.sent()) {
            fail(Failure.of(ErrorCode.DEADLINE_PASSED, head.service().name()));
            return;
        }
        history.addPossibleRun();
        stopCheck.countIfCut();
        from.timedOut(deadline.endsWithHost());
        fail(Failure.of(ErrorCode.UPSTREAM_TIMEOUT, from.target().name()));
    }

    private void progressTimerExpired(ResponseProgress.State state) {
        switch (state) {
            case ENDS -> {
                stopCheck.countIfCut();
                abortResponse();
            }
            case UPSTREAM_SILENT -> responseSilent();
            case CALLER_STALLED -> {
                LOG.info("event=caller_stalled id={}", LogValue.of(head.requestId()));
                caller.reset();
                callerGone();
            }
            default -> {} // The response goes on; the timer has been set again.
        }
    }

    private void rejectBody(ErrorCode code) {
        boolean sent = attempt != null && attempt.sent();
        if (relay != null) {
            abortResponse();
        } else if (sent) {
            history.addPossibleRun();
            cancelAttempt();
            fail(Failure.of(code == ErrorCode.OVERLOADED ? code : ErrorCode.REQUEST_BROKEN, code.name()));
        } else {
            fail(Failure.of(code, "body"));
        }
    }

    private void fail(Failure failure) {
        cancelAttempt();
        Failure reported = end.writeProblem(failure);
        awaitFlush(
                reported.notRun() ? RequestRecord.Result.REFUSED : RequestRecord.Result.UNKNOWN,
                Optional.of(reported.code()));
    }

    private void awaitFlush(RequestRecord.Result result, Optional<ErrorCode> code) {
        stage = Stage.FLUSH;
        deadline.lift();
        progress.awaitCaller();
        caller.afterWrites(written -> {
            if (stage != Stage.FLUSH) {
                return;
            }
            finish(
                    written ? result : RequestRecord.Result.CALLER_GONE,
                    written ? code : Optional.of(ErrorCode.CALLER_GONE));
        });
    }

    private void cancelAttempt() {
        admission.cancel();
        if (attempt != null) {
            attempt.cancel(AttemptOutcome.CANCELLED);
        }
    }

    private void finish(RequestRecord.Result result, Optional<ErrorCode> code) {
        stage = Stage.DONE;
        deadline.clear();
        end.finish(result, code, Optional.ofNullable(relay));
    }

    private boolean mayHaveRun() {
        return history.mayHaveRun() || (attempt != null && attempt.sent());
    }
}
