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
import org.arbutusfield.proxy.RawCaller.Answer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Deadlines, callers that leave, claims: whatever is given up on is given back, and told as it is. */
class DeadlineTest {
    private final BlockingQueue<CompletableFuture<Either<Failure, PlacementTarget>>> queued =
            new LinkedBlockingQueue<>();
    private final BlockingQueue<KeyOutcome> keys = new LinkedBlockingQueue<>();
    private final BlockingQueue<CompletableFuture<Either<Failure, KeyClaim>>> claims = new LinkedBlockingQueue<>();

    private static String bounded(String request, int millis) {
        return request.replace("host: x", "host: x\r\nx-request-deadline-ms: " + millis);
    }

    private static String keyed(String request) {
        return request.replace("host: x", "host: x\r\nidempotency-key: k1");
    }

    private Placement queueing() {
        return facts -> {
            CompletableFuture<Either<Failure, PlacementTarget>> future = new CompletableFuture<>();
            queued.add(future);
            return future;
        };
    }

    private IdempotencyGuard recording() {
        return (service, key, id, print) -> CompletableFuture.completedFuture(Either.right(keys::add));
    }

    @Test
    void aQueuedRequestIsRefusedAtItsDeadline() throws InterruptedException {
        try (ProxyFixture bench = ProxyFixture.of(1, 9, wiring -> wiring.withPlacement(queueing()));
                RawCaller caller = bench.caller()) {
            Answer answer = caller.call(bounded(post("/desk/book", "b", ""), 50));
            assertThat(answer.code()).isEqualTo("DEADLINE_PASSED");
            assertThat(answer.saysNotRun()).isTrue();
            assertThat(queued.take().isCancelled()).isTrue();
            assertThat(bench.runs("b")).isZero();
        }
    }

    @Test
    void aRunningRequestThatIsGivenUpOnIsUnknownAndCancelled() throws InterruptedException {
        try (ProxyFixture bench = ProxyFixture.of(1, 9, wiring -> wiring.withIdempotencyGuard(recording()));
                RawCaller caller = bench.caller()) {
            bench.upstream().hold(call -> true);
            Answer answer = caller.call(bounded(keyed(post("/desk/book", "b", "")), 100));
            assertThat(answer.code()).isEqualTo("UPSTREAM_TIMEOUT");
            assertThat(answer.saysUnknown()).isTrue();
            assertThat(keys.poll(20, TimeUnit.SECONDS)).isEqualTo(KeyOutcome.unknown());
            while (bench.upstream().cancelled() == 0) {
                Thread.onSpinWait();
            }
            assertThat(bench.permitsHeld).hasValue(0);
        }
    }

    @Test
    void aCallerThatLeavesFreesSlotAndUpstream() throws InterruptedException {
        try (ProxyFixture bench = ProxyFixture.of(1)) {
            bench.upstream().hold(call -> true);
            RawCaller caller = bench.caller().send(get("/desk/x", "x"));
            while (bench.upstream().busy() == 0) {
                Thread.onSpinWait();
            }
            caller.close();
            assertThat(bench.nextRecord().outcome()).isEqualTo(RequestRecord.Result.CALLER_GONE);
            while (bench.upstream().cancelled() == 0) {
                Thread.onSpinWait();
            }
            assertThat(bench.outcomes).containsExactly(AttemptOutcome.CANCELLED);
            assertThat(bench.entry.inFlight()).isZero();
        }
    }

    @Test
    void aCallerThatLeavesTheQueueTakesItsPlaceWithIt() throws InterruptedException {
        AtomicInteger released = new AtomicInteger();
        try (ProxyFixture bench = ProxyFixture.of(1, 9, wiring -> wiring.withPlacement(queueing()))) {
            RawCaller caller = bench.caller().send(get("/desk/x", "x"));
            CompletableFuture<Either<Failure, PlacementTarget>> waiting = queued.take();
            caller.reset();
            RequestRecord record = bench.nextRecord();
            assertThat(record.notRun()).isTrue();
            assertThat(waiting.isCancelled()).isTrue();
            assertThat(released).hasValue(0);
        }
    }

    /** The claim's ticket learns what became of the request. */
    @ParameterizedTest
    @CsvSource({
        "NONE,             ANSWERED, 200",
        "UNAVAILABLE,      ANSWERED, 503",
        "SHED,             NOT_RUN,  0",
        "CLOSE_UNRUN,      UNKNOWN,  0",
        "RESET_AFTER_RUN,  UNKNOWN,  0",
        "CROSSED_ANSWER,   UNKNOWN,  0",
        "CUT_BODY,         ANSWERED, 200",
    })
    void theTicketLearnsTheOutcome(Fault fault, KeyOutcome.Kind kind, int status) throws InterruptedException {
        try (ProxyFixture bench = ProxyFixture.of(1, 9, wiring -> wiring.withIdempotencyGuard(recording()));
                RawCaller caller = bench.caller()) {
            bench.upstream().faults((call, n) -> fault);
            caller.call(keyed(post("/desk/book", "b", "hall")));
            assertThat(keys.poll(20, TimeUnit.SECONDS)).isEqualTo(new KeyOutcome(kind, status));
        }
    }

    @Test
    void aClaimThatComesLateIsFreed() throws InterruptedException {
        IdempotencyGuard slow = (service, key, id, print) -> {
            CompletableFuture<Either<Failure, KeyClaim>> future = new CompletableFuture<>();
            claims.add(future);
            return future;
        };
        try (ProxyFixture bench = ProxyFixture.of(1, 9, wiring -> wiring.withIdempotencyGuard(slow));
                RawCaller caller = bench.caller()) {
            Answer answer = caller.call(bounded(keyed(post("/desk/book", "b", "")), 50));
            assertThat(answer.code()).isEqualTo("DEADLINE_PASSED");
            claims.take().complete(Either.right(keys::add));
            assertThat(keys.poll(20, TimeUnit.SECONDS)).isEqualTo(KeyOutcome.notRun());
            assertThat(bench.runs("k1")).isZero();
        }
    }

    @Test
    void retriesStayWithinTheirBudget() {
        AtomicInteger left = new AtomicInteger(1);
        try (ProxyFixture bench = ProxyFixture.of(
                        4, 9, wiring -> wiring.withRetryLimiter(service -> left.getAndDecrement() > 0));
                RawCaller caller = bench.caller()) {
            bench.upstreams.forEach(u -> u.faults((call, n) -> Fault.SHED));
            assertThat(caller.call(get("/desk/x", "x")).code()).isEqualTo("UPSTREAM_SHED");
            assertThat(bench.upstreams.stream().mapToLong(u -> u.received()).sum())
                    .isEqualTo(2);
        }
    }
}
