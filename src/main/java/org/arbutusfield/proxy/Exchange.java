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

/**
 * The life of one request for a service, from its head to the end of its answer. Confined to the event loop of the
 * caller's connection.
 *
 * <p>Problem: a request passes through claims, placements and several tries, each of which may end late, while the
 * caller may leave and the deadline may pass at any moment. The caller must get exactly one final answer, and that
 * answer must be true about whether the request was run.
 *
 * <p>Idea: one state machine on one thread. What other parts bring from other threads is moved to that thread and
 * compared with the stage first. A small body is received whole before a place is sought, so that a slow caller holds
 * no slot, a broken body was never run, and another try can send it again.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>The stage only moves forward, but for another try, which goes back to {@code PLACE}.
 *   <li>A try whose outcome is unknown is kept in the history, and from then on no failure says that the request was
 *       not run.
 *   <li>After an unknown outcome only a repeatable request is tried again, and none once a byte of an answer was
 *       passed, but for a missing range of a download.
 *   <li>Each permit is released once, each ticket finished once, each request accounted for once.
 * </ul>
 *
 * <p>Example: a booking is placed at a server that refuses the connection: not run, so it is placed at another one.
 * That one closes the connection after the request was sent: unknown, and a booking is not repeatable, so the caller
 * gets {@code UPSTREAM_LOST} with {@code notRun} false at once.
 */
final class Exchange implements RequestHandler {
    private static final Logger LOG = LogManager.getLogger(Exchange.class);

    private static final int MIN_BODY_BYTES_PER_WINDOW = 1 << 10;
    private static final int SUCCESS = 2;

    private final CallerConnection caller;
    private final ProxyContext context;
    private final RequestHead head;
    private final RequestBody body;
    private final RequestRecordBuilder account;
    private final RequestAdmission placing;
    private final AttemptHistory history;
    private long deadlineNanos;
    private Stage stage = Stage.BODY;
    private Attempt attempt;
    private Optional<Resumption> resumption = Optional.empty();
    private ResponseRelay relay;
    private boolean notRun;
    private long bodyAtWatch;
    private long writtenAtWatch;

    private Exchange(CallerConnection caller, ProxyContext context, RequestHead head, long startNanos) {
        this.caller = caller;
        this.context = context;
        this.head = head;
        body = RequestBody.of(context.limits().replayBytes(), context.replay());
        history = AttemptHistory.of(head, context);
        account = RequestRecordBuilder.of(head, startNanos);
        placing = RequestAdmission.of(context.wiring(), head, caller.loop(), caller.remoteAddress());
        deadlineNanos = startNanos + head.deadline().toNanos();
    }

    static Exchange of(CallerConnection caller, ProxyContext context, RequestHead head, long startNanos) {
        return new Exchange(caller, context, head, startNanos);
    }

    /** Begins to receive the body, or seeks a place at once for a body that is too large to keep. */
    void start() {
        if (head.hasBody() && context.replay().exhausted()) {
            fail(Failure.of(ErrorCode.OVERLOADED, "buffers"));
            return;
        }
        watchDeadline();
        if (head.length().orElse(0) > context.limits().replayBytes()) {
            claim();
            return;
        }
        demandBody();
    }

    EventLoop loop() {
        return caller.loop();
    }

    /** Time left until the answer must begin. */
    Duration remaining() {
        return Duration.ofNanos(Math.max(0, deadlineNanos - System.nanoTime()));
    }

    /** The range that the current try asks for, if it continues a download. */
    Optional<Resumption> resumption() {
        return resumption;
    }

    /** Asks the caller for more of the body. */
    void demandBody() {
        caller.demandBody(head.expectsContinue());
    }

    @Override
    public void bodyPart(HttpContent part) {
        if (stage.compareTo(Stage.FLUSH) >= 0) {
            part.release();
            return;
        }
        boolean broken = part.decoderResult().isFailure();
        body.add(part.content());
        if (part instanceof LastHttpContent && !broken) {
            body.end();
            streamedBodyEnded();
        }
        if (broken || body.received() > context.limits().bodyBytes()) {
            bodyRefused(broken ? ErrorCode.REQUEST_MALFORMED : ErrorCode.REQUEST_TOO_LARGE);
            return;
        }
        if (stage == Stage.BODY) {
            if (body.ended() || body.beyondKept()) {
                claim();
            } else {
                demandBody();
            }
        } else if (attempt != null) {
            attempt.pump();
        }
    }

    @Override
    public void callerGone() {
        if (stage == Stage.DONE) {
            return;
        }
        notRun = stage == Stage.FLUSH ? notRun : !history.mayHaveRun() && (attempt == null || !attempt.sent());
        cancelTry();
        conclude(RequestRecord.Result.CALLER_GONE, Optional.of(ErrorCode.CALLER_GONE));
    }

    @Override
    public void writabilityChanged() {
        if (stage == Stage.ANSWER && attempt != null) {
            attempt.reading(caller.takesMore());
            watchAnswer();
        }
    }

    @Override
    public void expired() {
        switch (stage) {
            case BODY -> fail(Failure.of(ErrorCode.REQUEST_TIMEOUT, "body"));
            case CLAIM, PLACE, CONNECT -> deadlinePassed();
            case SENT -> sentExpired();
            case ANSWER -> answerExpired();
            case FLUSH -> callerStalled();
            default -> LOG.debug("event=late_expiry id={}", head.requestId());
        }
    }

    private void claim() {
        if (!placing.needsClaim()) {
            place();
            return;
        }
        stage = Stage.CLAIM;
        placing.claim(body, failure -> failure.ifPresentOrElse(this::fail, this::place));
    }

    private void place() {
        stage = relay == null ? Stage.PLACE : Stage.ANSWER;
        attempt = null;
        account.waitBegins();
        placing.place(remaining(), history.tried(), result -> {
            account.waitEnds();
            result.peek(this::connect).peekLeft(this::placementFailed);
        });
    }

    private void placementFailed(Failure failure) {
        if (relay != null) {
            cut();
            return;
        }
        fail(history.lastFailure().orElse(failure));
    }

    private void connect(PlacementTarget placed) {
        history.begins();
        account.triedAt(placed.name());
        if (relay == null) {
            stage = Stage.CONNECT;
        }
        attempt = Attempt.of(this, context, placed, head, body, history.freshOnly());
        attempt.start(context);
    }

    private void deadlinePassed() {
        cancelTry();
        fail(Failure.of(ErrorCode.DEADLINE_PASSED, head.service().name()));
    }

    /** The current try begins to send. */
    void sending(Attempt by) {
        if (relay == null) {
            stage = Stage.SENT;
            watchSent();
        }
    }

    /** A try ended before any answer. */
    void attemptFailed(Attempt by, Failure failure, boolean notRun) {
        history.failed(by, failure, notRun);
        context.wiring().observer().attemptFailed(head.requestId(), by.placed().name(), failure, notRun);
        if (relay != null) {
            resumeOrCut();
        } else if (mayTryAgain(notRun)) {
            again();
        } else {
            fail(failure);
        }
    }

    /** An answer begins. */
    void answerHead(Attempt by, HttpResponse answer) {
        String answersId = answer.headers().get(ProxyHeaders.REQUEST_ID);
        if ((answersId != null && !answersId.equals(head.requestId()))
                || answer.status().code() == 101) {
            by.cancel(AttemptOutcome.CANCELLED);
            attemptFailed(
                    by, Failure.of(ErrorCode.UPSTREAM_PROTOCOL, by.placed().name(), "not this answer"), false);
            return;
        }
        if (relay != null) {
            if (!resumption.orElseThrow().continuedBy(answer)) {
                by.cancel(AttemptOutcome.COMPLETED);
                cut();
            }
            return;
        }
        if (NotRunStatement.in(answer, by.placed(), context.wiring().names())) {
            by.discardRest(AttemptOutcome.SHED);
            attemptFailed(by, NotRunStatement.failure(answer, by.placed()), true);
            return;
        }
        if (!genuine(answer)) {
            by.cancel(AttemptOutcome.FAILED);
            attemptFailed(
                    by, Failure.of(ErrorCode.UPSTREAM_PROTOCOL, by.placed().name(), "unproved answer"), false);
            return;
        }
        stage = Stage.ANSWER;
        account.answered(answer.status().code());
        relay = ResponseRelay.begin(caller, head, answer);
        watchAnswer();
    }

    /** A part of the answer's body. */
    void answerContent(Attempt by, HttpContent content) {
        if (content instanceof LastHttpContent last) {
            answerEnded(by, last);
            return;
        }
        if (!relay.pass(content)) {
            by.cancel(AttemptOutcome.FAILED);
            cut();
            return;
        }
        by.reading(caller.takesMore());
    }

    /** No more of the answer is there for now. */
    void answerBatchEnded() {
        caller.flush();
    }

    /** The connection broke before the answer was whole. */
    void answerLost(Attempt by, Failure failure) {
        if (relay == null) {
            attemptFailed(by, failure, false);
            return;
        }
        history.brokeOff(by.placed().name());
        resumeOrCut();
    }

    private void answerEnded(Attempt by, LastHttpContent last) {
        if (!relay.passLast(last)) {
            by.cancel(AttemptOutcome.FAILED);
            cut();
            return;
        }
        by.release(AttemptOutcome.COMPLETED);
        flush(RequestRecord.Result.WHOLE, Optional.empty());
    }

    private void resumeOrCut() {
        resumption = relay.rest();
        boolean mayResume = resumption.isPresent() && history.takeResumption();
        if (!mayResume) {
            cut();
            return;
        }
        deadlineNanos = System.nanoTime() + head.deadline().toNanos();
        caller.watch().until(deadlineNanos);
        place();
    }

    private void cut() {
        LOG.warn("event=answer_cut id={} passed={}", head.requestId(), relay.passed());
        cancelTry();
        caller.reset();
        conclude(RequestRecord.Result.CUT, Optional.of(ErrorCode.UPSTREAM_LOST));
    }

    /** True when the answer carries the proof that upstreams give, where they give one. */
    private boolean genuine(HttpResponse answer) {
        return answer.status().code() / 100 != SUCCESS
                || context.wiring()
                        .names()
                        .answerProof()
                        .map(answer.headers()::contains)
                        .orElse(true);
    }

    private void again() {
        body.rewind();
        watchDeadline();
        place();
    }

    private boolean mayTryAgain(boolean notRun) {
        return !remaining().isZero() && history.takeAnother(notRun, body);
    }

    private void watchDeadline() {
        caller.watch().until(deadlineNanos);
    }

    private void streamedBodyEnded() {
        if (stage == Stage.SENT) {
            deadlineNanos = System.nanoTime() + head.deadline().toNanos();
            watchSent();
        }
    }

    private void watchSent() {
        long now = System.nanoTime();
        if (!body.ended()) {
            bodyAtWatch = body.received();
            caller.watch().until(now + context.limits().bodyTimeout().toNanos());
            return;
        }
        boolean freshDecides =
                attempt.onReusedConnection() && head.requestClass().repeatable() && body.replayable();
        long left = deadlineNanos - now;
        caller.watch().until(freshDecides ? now + left / 2 : deadlineNanos);
    }

    private void sentExpired() {
        Attempt by = attempt;
        if (!body.ended()) {
            bodyWindowEnded(by);
        } else if (remaining().isZero()) {
            history.mayRun();
            if (by.onReusedConnection()) {
                by.closeSilent();
            } else {
                by.cancel(AttemptOutcome.FAILED);
            }
            fail(Failure.of(ErrorCode.UPSTREAM_TIMEOUT, by.placed().name()));
        } else {
            by.closeSilent();
            attemptFailed(by, Failure.of(ErrorCode.UPSTREAM_LOST, by.placed().name(), "silent"), false);
        }
    }

    private void bodyWindowEnded(Attempt by) {
        if (body.received() - bodyAtWatch >= MIN_BODY_BYTES_PER_WINDOW) {
            watchSent();
        } else if (body.hasUnsent()) {
            by.closeSilent();
            attemptFailed(by, Failure.of(ErrorCode.UPSTREAM_TIMEOUT, by.placed().name()), false);
        } else {
            bodyRefused(ErrorCode.REQUEST_TIMEOUT);
        }
    }

    private void watchAnswer() {
        writtenAtWatch = caller.written();
        Duration limit = caller.takesMore()
                ? context.limits().progressTimeout()
                : context.limits().writeTimeout();
        caller.watch().until(System.nanoTime() + limit.toNanos());
    }

    private void answerExpired() {
        if (attempt == null || !attempt.sent()) {
            cut();
        } else if (!caller.takesMore()) {
            callerStalled();
        } else if (silentAt() - System.nanoTime() > 0) {
            caller.watch().until(silentAt());
        } else {
            attempt.closeSilent();
            history.avoidReuse();
            resumeOrCut();
        }
    }

    private long silentAt() {
        return attempt.lastProgressNanos() + context.limits().progressTimeout().toNanos();
    }

    private void callerStalled() {
        if (caller.written() > writtenAtWatch) {
            writtenAtWatch = caller.written();
            caller.watch()
                    .until(System.nanoTime() + context.limits().writeTimeout().toNanos());
            return;
        }
        LOG.info("event=caller_stalled id={}", head.requestId());
        caller.reset();
        callerGone();
    }

    private void bodyRefused(ErrorCode code) {
        boolean sent = attempt != null && attempt.sent();
        if (relay != null) {
            cut();
        } else if (sent) {
            history.mayRun();
            cancelTry();
            fail(Failure.of(ErrorCode.REQUEST_BROKEN, code.name()));
        } else {
            fail(Failure.of(code, "body"));
        }
    }

    private void fail(Failure failure) {
        cancelTry();
        Failure told = history.told(failure);
        notRun = told.notRun();
        account.refused(told.code());
        caller.writeProblem(told, head.requestId(), body.ended());
        flush(notRun ? RequestRecord.Result.REFUSED : RequestRecord.Result.UNKNOWN, Optional.of(told.code()));
    }

    private void flush(RequestRecord.Result result, Optional<ErrorCode> code) {
        stage = Stage.FLUSH;
        writtenAtWatch = caller.written();
        caller.watch().until(System.nanoTime() + context.limits().writeTimeout().toNanos());
        caller.afterWrites(written -> {
            if (stage != Stage.FLUSH) {
                return;
            }
            conclude(
                    written ? result : RequestRecord.Result.CALLER_GONE,
                    written ? code : Optional.of(ErrorCode.CALLER_GONE));
        });
    }

    private void cancelTry() {
        placing.cancel();
        if (attempt != null) {
            attempt.cancel(AttemptOutcome.CANCELLED);
        }
    }

    private void conclude(RequestRecord.Result result, Optional<ErrorCode> code) {
        stage = Stage.DONE;
        caller.watch().clear();
        placing.finish(keyOutcome());
        long passed = relay == null ? 0 : relay.passed();
        RequestRecord record = account.record(result, code, notRun, history.repeats(), body.received(), passed);
        boolean reusable = body.ended();
        body.release();
        caller.exchangeDone(reusable);
        context.wiring().observer().finished(record);
    }

    private KeyOutcome keyOutcome() {
        if (relay != null) {
            return KeyOutcome.answered(relay.status());
        }
        return notRun ? KeyOutcome.notRun() : KeyOutcome.unknown();
    }
}
