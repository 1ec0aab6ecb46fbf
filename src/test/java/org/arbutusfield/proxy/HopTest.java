package org.arbutusfield.proxy;

import static org.arbutusfield.proxy.ProxyFixture.get;
import static org.arbutusfield.proxy.ProxyFixture.post;
import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.lab.Fault;
import org.arbutusfield.lab.UpstreamStandIn;
import org.arbutusfield.proxy.RawCaller.Answer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A request that goes through a host of another region, which may die or refuse at every step. */
class HopTest {
    private final ProxyFixture far = ProxyFixture.of(1);
    private final AtomicInteger claims = new AtomicInteger();

    @AfterEach
    void stop() {
        far.close();
    }

    private ProxyServer near(InetSocketAddress to) {
        Placement placement = facts -> CompletableFuture.completedFuture(
                facts.tried().isEmpty()
                        ? Either.right(new PlacementTarget.HostTarget("far", to, Permit.NONE))
                        : Either.left(Failure.of(ErrorCode.NO_UPSTREAM)));
        ProxyComponents wiring = ProxyComponents.of("piedmont", () -> far.configuration)
                .withPlacement(placement)
                .withIdempotencyGuard((service, key, id, print) -> {
                    claims.incrementAndGet();
                    return CompletableFuture.completedFuture(Either.right(outcome -> {}));
                });
        return ProxyServer.bind(far.group, ProxyFixture.ANY, wiring).get();
    }

    @Test
    void forwardsWholeRequestsAndAnswers() {
        ProxyServer near = near(far.entry.address());
        try (RawCaller caller = RawCaller.connect(near.address())) {
            assertThat(caller.call(post("/desk/book/1", "b", "hall")).text()).endsWith("POST /book/1\nhall");
            Answer blob = caller.call(get("/desk/blob/300000", "c"));
            assertThat(blob.body()).isEqualTo(BlobContent.bytes("/blob/300000", 300_000));
            assertThat(far.runs("b")).isEqualTo(1);
        }
        near.close();
    }

    @Test
    void theFarHostRefusesInOneRoundTrip() {
        far.upstream().faults((call, n) -> Fault.SHED);
        ProxyServer near = near(far.entry.address());
        try (RawCaller caller = RawCaller.connect(near.address())) {
            Answer answer = caller.call(post("/desk/book/1", "b", "hall"));
            assertThat(answer.code()).isEqualTo("UPSTREAM_SHED");
            assertThat(answer.saysNotRun()).isTrue();
            assertThat(far.runs("b")).isZero();
        }
        near.close();
    }

    @Test
    void theFarHostDoesNotForwardAgain() {
        ProxyServer second = near(far.entry.address());
        ProxyServer first = near(second.address());
        try (RawCaller caller = RawCaller.connect(first.address())) {
            Answer answer = caller.call(post("/desk/book/1", "b", ""));
            assertThat(answer.code()).isEqualTo("NO_UPSTREAM");
            assertThat(answer.saysNotRun()).isTrue();
            assertThat(far.runs("b")).isZero();
        }
        first.close();
        second.close();
    }

    @Test
    void anUnknownOutcomeStaysUnknownOverTheHop() {
        far.upstream().faults((call, n) -> Fault.RESET_AFTER_RUN);
        ProxyServer near = near(far.entry.address());
        try (RawCaller caller = RawCaller.connect(near.address())) {
            Answer answer = caller.call(post("/desk/book/1", "b", "hall"));
            assertThat(answer.saysUnknown()).isTrue();
            assertThat(answer.code()).isEqualTo("UPSTREAM_LOST");
            assertThat(far.runs("b")).isEqualTo(1);
        }
        near.close();
    }

    @Test
    void theDeadlineShrinksOverTheHop() throws InterruptedException {
        CompletableFuture<Long> left = new CompletableFuture<>();
        far.upstream().faults((call, n) -> {
            left.complete(Long.parseLong(call.header("x-request-deadline-ms").orElse("-1")));
            return Fault.NONE;
        });
        ProxyServer near = near(far.entry.address());
        try (RawCaller caller = RawCaller.connect(near.address())) {
            String bounded = get("/desk/x", "d").replace("host: x", "host: x\r\nx-request-deadline-ms: 900");
            assertThat(caller.call(bounded).status()).isEqualTo(200);
        }
        assertThat(left.join()).isBetween(1L, 899L);
        near.close();
    }

    @Test
    void onlyAKnownHostsRequestIsTakenAsClaimed() {
        ProxyServer near = near(far.entry.address());
        String keyed = post("/desk/book/1", "b", "").replace("host: x", "host: x\r\nidempotency-key: k");
        try (RawCaller caller = RawCaller.connect(near.address())) {
            caller.call(keyed.replace("host: x", "host: x\r\nx-arbutus-hop: 1"));
            assertThat(claims).hasValue(1);
            assertThat(far.runs("b")).isZero();
            caller.call(keyed);
            assertThat(claims).hasValue(2);
            assertThat(far.runs("k")).isEqualTo(1);
        }
        near.close();
    }

    /** A stand-in in the far host's place dies at each step. */
    @ParameterizedTest
    @CsvSource({
        "CLOSE_UNRUN,      UPSTREAM_LOST,     false, 0",
        "CLOSE_AFTER_RUN,  UPSTREAM_LOST,     false, 1",
        "RESET_AFTER_RUN,  UPSTREAM_LOST,     false, 1",
        "CUT_HEAD,         UPSTREAM_PROTOCOL, false, 1",
        "SILENT,           UPSTREAM_TIMEOUT,  false, 1",
        "SHED,             UPSTREAM_SHED,     true,  0",
    })
    void theHopDiesAtEachStep(Fault fault, String code, boolean notRun, int runs) {
        UpstreamStandIn dying = UpstreamStandIn.bind(far.group, ProxyFixture.ANY, "far", 9, Duration.ZERO, far.timer)
                .get();
        dying.faults((call, n) -> fault);
        ProxyServer near = near(dying.address());
        try (RawCaller caller = RawCaller.connect(near.address())) {
            Answer answer = caller.call(
                    post("/desk/book", "b", "x").replace("host: x", "host: x\r\nx-request-deadline-ms: 400"));
            assertThat(answer.code()).isEqualTo(code);
            assertThat(answer.saysNotRun()).isEqualTo(notRun);
            assertThat(dying.runs("b")).isEqualTo(runs);
        }
        near.close();
        dying.close();
    }

    @Test
    void aHopThatCannotBeReachedIsNotRun() {
        InetSocketAddress gone = far.entry.address();
        far.entry.close();
        ProxyServer near = near(gone);
        try (RawCaller caller = RawCaller.connect(near.address())) {
            Answer answer = caller.call(post("/desk/book", "b", "x"));
            assertThat(answer.code()).isEqualTo("UPSTREAM_CONNECT");
            assertThat(answer.saysNotRun()).isTrue();
        }
        near.close();
    }
}
