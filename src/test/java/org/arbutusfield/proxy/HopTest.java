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
import org.arbutusfield.proxy.RawCaller.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Requests forwarded to a host of another region, which may fail or refuse at each step. */
class HopTest {
    private final ProxyFixture remote = ProxyFixture.of(1);
    private final AtomicInteger claims = new AtomicInteger();

    @AfterEach
    void stop() {
        remote.close();
    }

    private ProxyServer forwardingTo(InetSocketAddress to) {
        Placement placement = request -> CompletableFuture.completedFuture(
                request.tried().isEmpty()
                        ? Either.right(new PlacementTarget.HostTarget("far", to, Permit.NONE))
                        : Either.left(Failure.of(ErrorCode.NO_UPSTREAM)));
        ProxyComponents components = ProxyComponents.of("piedmont", () -> remote.configuration)
                .withPlacement(placement)
                .withIdempotencyGuard((service, key, id, fingerprint) -> {
                    claims.incrementAndGet();
                    return CompletableFuture.completedFuture(Either.right(outcome -> {}));
                });
        return ProxyServer.bind(remote.group, ProxyFixture.ANY_PORT, components).get();
    }

    @Test
    void forwardsRequestsAndResponses() {
        ProxyServer server = forwardingTo(remote.server.address());
        try (RawCaller caller = RawCaller.connect(server.address())) {
            assertThat(caller.call(post("/desk/book/1", "b", "hall")).text()).endsWith("POST /book/1\nhall");
            Response blob = caller.call(get("/desk/blob/300000", "c"));
            assertThat(blob.body()).isEqualTo(BlobContent.bytes("/blob/300000", 300_000));
            assertThat(remote.runs("b")).isEqualTo(1);
        }
        server.close();
    }

    @Test
    void refusalOfRemoteHostIsPassedOn() {
        remote.upstream().injectFaults((request, n) -> Fault.SHED);
        ProxyServer server = forwardingTo(remote.server.address());
        try (RawCaller caller = RawCaller.connect(server.address())) {
            Response response = caller.call(post("/desk/book/1", "b", "hall"));
            assertThat(response.code()).isEqualTo("UPSTREAM_SHED");
            assertThat(response.statesNotRun()).isTrue();
            assertThat(remote.runs("b")).isZero();
        }
        server.close();
    }

    @Test
    void forwardedRequestIsNotForwardedAgain() {
        ProxyServer second = forwardingTo(remote.server.address());
        ProxyServer first = forwardingTo(second.address());
        try (RawCaller caller = RawCaller.connect(first.address())) {
            Response response = caller.call(post("/desk/book/1", "b", ""));
            assertThat(response.code()).isEqualTo("NO_UPSTREAM");
            assertThat(response.statesNotRun()).isTrue();
            assertThat(remote.runs("b")).isZero();
        }
        first.close();
        second.close();
    }

    @Test
    void unknownOutcomeIsPassedOn() {
        remote.upstream().injectFaults((request, n) -> Fault.RESET_AFTER_RUN);
        ProxyServer server = forwardingTo(remote.server.address());
        try (RawCaller caller = RawCaller.connect(server.address())) {
            Response response = caller.call(post("/desk/book/1", "b", "hall"));
            assertThat(response.statesUnknown()).isTrue();
            assertThat(response.code()).isEqualTo("UPSTREAM_LOST");
            assertThat(remote.runs("b")).isEqualTo(1);
        }
        server.close();
    }

    @Test
    void forwardedDeadlineIsReduced() throws InterruptedException {
        CompletableFuture<Long> deadlineMillis = new CompletableFuture<>();
        remote.upstream().injectFaults((request, n) -> {
            deadlineMillis.complete(
                    Long.parseLong(request.header("x-request-deadline-ms").orElse("-1")));
            return Fault.NONE;
        });
        ProxyServer server = forwardingTo(remote.server.address());
        try (RawCaller caller = RawCaller.connect(server.address())) {
            String requestWithDeadline =
                    get("/desk/x", "d").replace("host: x", "host: x\r\nx-request-deadline-ms: 900");
            assertThat(caller.call(requestWithDeadline).status()).isEqualTo(200);
        }
        assertThat(deadlineMillis.join()).isBetween(1L, 899L);
        server.close();
    }

    /**
     * Guards against 504 for a request that the remote host never sent: its refusal must arrive before the deadline of
     * the host that forwarded it.
     */
    @Test
    void refusalOfRemoteHostArrivesBeforeTheDeadline() {
        ProxyComponents neverPlacing = ProxyComponents.of("gulf", () -> remote.configuration)
                .withPlacement(request -> new CompletableFuture<>());
        try (ProxyServer far = ProxyServer.bind(remote.group, ProxyFixture.ANY_PORT, neverPlacing)
                        .get();
                ProxyServer server = forwardingTo(far.address());
                RawCaller caller = RawCaller.connect(server.address())) {
            Response response = caller.call(
                    post("/desk/book", "b", "x").replace("host: x", "host: x\r\nx-request-deadline-ms: 600"));
            assertThat(response.status()).isEqualTo(503);
            assertThat(response.statesNotRun()).isTrue();
            assertThat(response.header("retry-after")).isNotNull();
        }
    }

    @Test
    void hopFieldOfUnknownPeerDoesNotSkipClaim() {
        ProxyServer server = forwardingTo(remote.server.address());
        String requestWithKey = post("/desk/book/1", "b", "").replace("host: x", "host: x\r\nidempotency-key: k");
        try (RawCaller caller = RawCaller.connect(server.address())) {
            caller.call(requestWithKey.replace("host: x", "host: x\r\nx-arbutus-hop: 1"));
            assertThat(claims).hasValue(1);
            assertThat(remote.runs("b")).isZero();
            caller.call(requestWithKey);
            assertThat(claims).hasValue(2);
            assertThat(remote.runs("k")).isEqualTo(1);
        }
        server.close();
    }

    /** A stand-in takes the place of the remote host and fails at each step. */
    @ParameterizedTest
    @CsvSource({
        "CLOSE_BEFORE_RUN, UPSTREAM_LOST,     false, 0",
        "CLOSE_AFTER_RUN,  UPSTREAM_LOST,     false, 1",
        "RESET_AFTER_RUN,  UPSTREAM_LOST,     false, 1",
        "TRUNCATED_HEAD,   UPSTREAM_PROTOCOL, false, 1",
        "TWO_LENGTHS,      UPSTREAM_PROTOCOL, false, 1",
        "SILENT,           UPSTREAM_TIMEOUT,  false, 1",
        "SHED,             UPSTREAM_SHED,     true,  0",
    })
    void remoteHostFaultIsReported(Fault fault, String code, boolean notRun, int runs) {
        UpstreamStandIn failingHost = UpstreamStandIn.bind(
                        remote.group, ProxyFixture.ANY_PORT, "far", 9, Duration.ZERO, remote.timer)
                .get();
        failingHost.injectFaults((request, n) -> fault);
        ProxyServer server = forwardingTo(failingHost.address());
        try (RawCaller caller = RawCaller.connect(server.address())) {
            Response response = caller.call(
                    post("/desk/book", "b", "x").replace("host: x", "host: x\r\nx-request-deadline-ms: 400"));
            assertThat(response.code()).isEqualTo(code);
            assertThat(response.statesNotRun()).isEqualTo(notRun);
            assertThat(failingHost.runs("b")).isEqualTo(runs);
        }
        server.close();
        failingHost.close();
    }

    @Test
    void unreachableHostIsReportedAsNotRun() {
        InetSocketAddress closedAddress = remote.server.address();
        remote.server.close();
        ProxyServer server = forwardingTo(closedAddress);
        try (RawCaller caller = RawCaller.connect(server.address())) {
            Response response = caller.call(post("/desk/book", "b", "x"));
            assertThat(response.code()).isEqualTo("UPSTREAM_CONNECT");
            assertThat(response.statesNotRun()).isTrue();
        }
        server.close();
    }
}
