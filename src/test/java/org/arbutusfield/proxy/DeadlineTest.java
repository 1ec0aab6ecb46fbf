package org.arbutusfield.proxy;

import static org.arbutusfield.proxy.ProxyFixture.get;
import static org.arbutusfield.proxy.ProxyFixture.post;
import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusfield.error.Failure;
import org.arbutusfield.lab.Fault;
import org.arbutusfield.proxy.RawCaller.Response;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Deadlines, callers that disconnect, and claims of idempotency keys: an abandoned request releases its permit,
 * placement and claim, and its outcome is reported correctly.
 */
class DeadlineTest {
    private final BlockingQueue<CompletableFuture<Either<Failure, PlacementTarget>>> queued =
            new LinkedBlockingQueue<>();
    private final BlockingQueue<KeyOutcome> outcomes = new LinkedBlockingQueue<>();
    private final BlockingQueue<CompletableFuture<Either<Failure, KeyClaim>>> claims = new LinkedBlockingQueue<>();

    private static String withDeadline(String request, int millis) {
        return request.replace("host: x", "host: x\r\nx-request-deadline-ms: " + millis);
    }

    private static String withKey(String request) {
        return request.replace("host: x", "host: x\r\nidempotency-key: k1");
    }

    private Placement queueingPlacement() {
        return request -> {
            CompletableFuture<Either<Failure, PlacementTarget>> future = new CompletableFuture<>();
            queued.add(future);
            return future;
        };
    }

    private IdempotencyGuard recordingGuard() {
        return (service, key, id, fingerprint) -> CompletableFuture.completedFuture(Either.right(outcomes::add));
    }

    @Test
    void queuedRequestIsRefusedAtDeadline() throws InterruptedException {
        try (ProxyFixture fixture = ProxyFixture.of(1, 9, components -> components.withPlacement(queueingPlacement()));
                RawCaller caller = fixture.caller()) {
            Response response = caller.call(withDeadline(post("/desk/book", "b", ""), 50));
            assertThat(response.code()).isEqualTo("DEADLINE_PASSED");
            assertThat(response.statesNotRun()).isTrue();
            assertThat(queued.take().isCancelled()).isTrue();
            assertThat(fixture.runs("b")).isZero();
        }
    }

    @Test
    void runningRequestPastDeadlineIsCancelledWithUnknownOutcome() throws InterruptedException {
        try (ProxyFixture fixture =
                        ProxyFixture.of(1, 9, components -> components.withIdempotencyGuard(recordingGuard()));
                RawCaller caller = fixture.caller()) {
            fixture.upstream().holdResponses(request -> true);
            Response response = caller.call(withDeadline(withKey(post("/desk/book", "b", "")), 100));
            assertThat(response.code()).isEqualTo("UPSTREAM_TIMEOUT");
            assertThat(response.statesUnknown()).isTrue();
            assertThat(outcomes.poll(20, TimeUnit.SECONDS)).isEqualTo(KeyOutcome.unknown());
            while (fixture.upstream().cancelled() == 0) {
                Thread.onSpinWait();
            }
            assertThat(fixture.permitsHeld).hasValue(0);
        }
    }

    @Test
    @Timeout(20)
    void callerDisconnectReleasesPermitAndCancelsUpstream() throws InterruptedException {
        try (ProxyFixture fixture = ProxyFixture.of(1)) {
            fixture.upstream().holdResponses(request -> true);
            RawCaller caller = fixture.caller().send(get("/desk/x", "x"));
            while (fixture.upstream().runningRequests() == 0) {
                Thread.onSpinWait();
            }
            caller.close();
            assertThat(fixture.nextRecord().outcome()).isEqualTo(RequestRecord.Result.CALLER_GONE);
            while (fixture.upstream().cancelled() == 0) {
                Thread.onSpinWait();
            }
            assertThat(fixture.outcomes).containsExactly(AttemptOutcome.CANCELLED);
            // A request is in progress until its record has been handed over.
            while (fixture.server.inFlight() > 0) {
                Thread.onSpinWait();
            }
        }
    }

    @Test
    void callerDisconnectCancelsQueuedPlacement() throws InterruptedException {
        AtomicInteger released = new AtomicInteger();
        try (ProxyFixture fixture =
                ProxyFixture.of(1, 9, components -> components.withPlacement(queueingPlacement()))) {
            RawCaller caller = fixture.caller().send(get("/desk/x", "x"));
            CompletableFuture<Either<Failure, PlacementTarget>> waiting = queued.take();
            caller.reset();
            RequestRecord record = fixture.nextRecord();
            assertThat(record.notRun()).isTrue();
            assertThat(waiting.isCancelled()).isTrue();
            assertThat(released).hasValue(0);
        }
    }

    /** The claim is completed with the outcome of the request. */
    @ParameterizedTest
    @CsvSource({
        "NONE,             ANSWERED, 200",
        "UNAVAILABLE,      ANSWERED, 503",
        "SHED,             NOT_RUN,  0",
        "CLOSE_BEFORE_RUN, UNKNOWN,  0",
        "RESET_AFTER_RUN,  UNKNOWN,  0",
        "WRONG_REQUEST_ID, UNKNOWN,  0",
        "TRUNCATED_BODY,   ANSWERED, 200",
    })
    void claimIsCompletedWithOutcome(Fault fault, KeyOutcome.Kind kind, int status) throws InterruptedException {
        try (ProxyFixture fixture =
                        ProxyFixture.of(1, 9, components -> components.withIdempotencyGuard(recordingGuard()));
                RawCaller caller = fixture.caller()) {
            fixture.upstream().injectFaults((request, n) -> fault);
            caller.call(withKey(post("/desk/book", "b", "hall")));
            assertThat(outcomes.poll(20, TimeUnit.SECONDS)).isEqualTo(new KeyOutcome(kind, status));
        }
    }

    @Test
    void lateClaimIsCompletedAsNotRun() throws InterruptedException {
        IdempotencyGuard slow = (service, key, id, fingerprint) -> {
            CompletableFuture<Either<Failure, KeyClaim>> future = new CompletableFuture<>();
            claims.add(future);
            return future;
        };
        try (ProxyFixture fixture = ProxyFixture.of(1, 9, components -> components.withIdempotencyGuard(slow));
                RawCaller caller = fixture.caller()) {
            Response response = caller.call(withDeadline(withKey(post("/desk/book", "b", "")), 50));
            assertThat(response.code()).isEqualTo("DEADLINE_PASSED");
            claims.take().complete(Either.right(outcomes::add));
            assertThat(outcomes.poll(20, TimeUnit.SECONDS)).isEqualTo(KeyOutcome.notRun());
            assertThat(fixture.runs("k1")).isZero();
        }
    }

    @Test
    void retriesStayWithinLimit() {
        AtomicInteger left = new AtomicInteger(1);
        try (ProxyFixture fixture = ProxyFixture.of(
                        4, 9, components -> components.withRetryLimiter(service -> left.getAndDecrement() > 0));
                RawCaller caller = fixture.caller()) {
            fixture.upstreams.forEach(u -> u.injectFaults((request, n) -> Fault.SHED));
            assertThat(caller.call(get("/desk/x", "x")).code()).isEqualTo("UPSTREAM_SHED");
            assertThat(fixture.upstreams.stream().mapToLong(u -> u.received()).sum())
                    .isEqualTo(2);
        }
    }
}
