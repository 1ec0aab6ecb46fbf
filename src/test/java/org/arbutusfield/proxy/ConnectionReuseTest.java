package org.arbutusfield.proxy;

import static org.arbutusfield.proxy.ProxyFixture.get;
import static org.arbutusfield.proxy.ProxyFixture.post;
import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusfield.lab.Fault;
import org.arbutusfield.lab.ServiceTimes;
import org.arbutusfield.lab.UpstreamStandIn;
import org.arbutusfield.proxy.RawCaller.Response;
import org.arbutusfield.proxy.ScriptedUpstream.Reply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Connections to upstreams: limits, reuse, and connections that must not be reused. */
class ConnectionReuseTest {

    @Test
    void connectionsStayWithinUpstreamLimit() {
        try (ProxyFixture fixture = ProxyFixture.of(1, 3, components -> components)) {
            UpstreamStandIn upstream = fixture.upstream();
            upstream.holdResponses(request -> true);
            List<RawCaller> callers = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                RawCaller caller = fixture.caller();
                callers.add(caller.send(post("/desk/book/" + i, "b" + i, "")));
            }
            int refused = 0;
            while (upstream.runningRequests() < 3 || fixture.records.size() < 5) {
                Thread.onSpinWait();
            }
            for (RequestRecord record : fixture.records) {
                assertThat(record.notRun()).isTrue();
                assertThat(fixture.runs(record.requestId())).isZero();
                refused++;
            }
            assertThat(refused).isEqualTo(5);
            assertThat(upstream.peakConnections()).isEqualTo(3);
            callers.forEach(RawCaller::close);
        }
    }

    @Test
    void singleConnectionLimitServesAllEventLoops() {
        try (ProxyFixture fixture = ProxyFixture.of(1, 1, components -> components)) {
            for (int i = 0; i < 20; i++) {
                try (RawCaller caller = fixture.caller()) {
                    assertThat(caller.call(get("/desk/x" + i, "r" + i)).text()).endsWith("GET /x" + i + "\n");
                }
            }
            assertThat(fixture.server.upstreamConnections()).isEqualTo(1);
        }
    }

    /**
     * The connection received more bytes than the response to its first request; they must not become the response to
     * the next one.
     */
    @ParameterizedTest
    @EnumSource(names = {"DUPLICATE_RESPONSE", "LATE_DUPLICATE", "TRAILING_BYTES"})
    void surplusBytesNeverReachNextCaller(Fault fault) {
        for (int round = 0; round < 20; round++) {
            try (ProxyFixture fixture = ProxyFixture.of(1)) {
                fixture.faultOnce(fault);
                try (RawCaller caller = fixture.caller()) {
                    assertThat(caller.call(get("/desk/first", "f")).text()).endsWith("GET /first\n");
                    for (int i = 0; i < 5; i++) {
                        Response next = caller.call(get("/desk/next/" + i, "n" + i));
                        assertThat(next.text()).endsWith("GET /next/" + i + "\n");
                    }
                }
            }
        }
    }

    @Test
    void nonRepeatableRequestNeverGetsStaleResponseIfUpstreamEchoesNoId() {
        try (ProxyFixture fixture = ProxyFixture.of(1);
                RawCaller caller = fixture.caller()) {
            fixture.upstream().echoRequestIds(false);
            fixture.upstream()
                    .injectFaults((request, n) -> request.method().equals("GET") ? Fault.LATE_DUPLICATE : Fault.NONE);
            for (int i = 0; i < 50; i++) {
                caller.call(get("/desk/first", "f" + i));
                Response booked = caller.call(post("/desk/book/" + i, "b" + i, "x"));
                assertThat(booked.text()).endsWith("POST /book/" + i + "\nx");
                assertThat(fixture.runs("b" + i)).isEqualTo(1);
            }
        }
    }

    /**
     * Guards against an unknown outcome on a connection that the upstream has forgotten without a sign, at the reuse
     * limit of edge hosts: each connection answers one request and is closed when it gets another one.
     */
    @Test
    @Timeout(20)
    void nonRepeatableRequestNeverUsesAForgottenConnection() {
        String success = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-request-id: %s\r\n\r\nok";
        try (ScriptedUpstream upstream = ScriptedUpstream.start(
                        (number, id) -> number == 1 ? Reply.keep(success.formatted(id)) : Reply.thenClose(""));
                ProxyFixture fixture = ProxyFixture.of(
                        0,
                        0,
                        all -> all.withPlacement(ScriptedUpstream.inTurn(upstream))
                                .withLimits(TestLimits.withNonRepeatableReuseLimit(Duration.ZERO)));
                RawCaller caller = fixture.caller()) {
            for (int i = 0; i < 20; i++) {
                assertThat(caller.call(get("/desk/quote/" + i, "q" + i)).status())
                        .isEqualTo(200);
                assertThat(caller.call(post("/desk/book/" + i, "b" + i, "x")).status())
                        .isEqualTo(200);
            }
        }
    }

    /**
     * Open connections stop delivering data, as after a middlebox lost its state, while a new connection to the same
     * upstream works. The request is retried on a new connection, and no failed attempt is reported for the upstream.
     */
    @Test
    void unresponsiveConnectionIsReplacedByNewOne() {
        try (ProxyFixture fixture = ProxyFixture.of(1);
                RawCaller caller = fixture.caller()) {
            caller.call(get("/desk/warm", "w"));
            fixture.upstream().silenceOpenConnections();
            String requestWithDeadline =
                    get("/desk/x", "x").replace("host: x", "host: x\r\nx-request-deadline-ms: 1000");
            assertThat(caller.call(requestWithDeadline).text()).endsWith("GET /x\n");
            assertThat(fixture.outcomes).doesNotContain(AttemptOutcome.FAILED);
            assertThat(fixture.outcomes).contains(AttemptOutcome.CANCELLED);
        }
    }

    @Test
    void unresponsiveConnectionClosesOtherStaleIdleConnections() {
        try (ProxyFixture fixture = ProxyFixture.of(1);
                RawCaller caller = fixture.caller();
                RawCaller other = fixture.caller()) {
            fixture.upstream().holdResponses(request -> true);
            caller.send(get("/desk/1", "1"));
            other.send(get("/desk/2", "2"));
            while (fixture.upstream().runningRequests() < 2) {
                Thread.onSpinWait();
            }
            fixture.upstream().releaseHeldResponses();
            caller.read(false);
            other.read(false);
            fixture.upstream().silenceOpenConnections();
            String requestWithDeadline =
                    get("/desk/x", "x").replace("host: x", "host: x\r\nx-request-deadline-ms: 600");
            assertThat(caller.call(requestWithDeadline).text()).endsWith("GET /x\n");
            assertThat(fixture.server.upstreamConnections()).isEqualTo(1);
        }
    }

    @Test
    void connectionClosedWhileIdleDoesNotFailNextRequest() {
        try (ProxyFixture fixture = ProxyFixture.of(1);
                RawCaller caller = fixture.caller()) {
            caller.call(get("/desk/warm", "w"));
            fixture.upstream().injectFaults((request, n) -> Fault.NONE);
            fixture.upstream().dropConnections();
            while (fixture.server.upstreamConnections() > 0) {
                Thread.onSpinWait();
            }
            assertThat(caller.call(post("/desk/book", "b", "x")).status()).isEqualTo(200);
            assertThat(fixture.runs("b")).isEqualTo(1);
        }
    }

    /**
     * Load pattern: requests whose work takes more than half of their time, on connections that are used again. Each
     * must be waited for; giving up the first attempt would lose its work and leave too little time for another.
     */
    @Test
    void slowResponseOnAReusedConnectionIsAwaited() {
        Duration serviceTime = Duration.ofMillis(700);
        try (ProxyFixture fixture = ProxyFixture.of(2);
                RawCaller caller = fixture.caller()) {
            fixture.upstreams.forEach(upstream -> upstream.serviceTimes(ServiceTimes.fixed(serviceTime)));
            for (int i = 0; i < 6; i++) {
                String id = "slow" + i;
                caller.send("GET /desk/" + i + " HTTP/1.1\r\nhost: x\r\nx-request-id: " + id
                        + "\r\nx-request-deadline-ms: 1000\r\n\r\n");
                assertThat(caller.read(false).status()).isEqualTo(200);
                assertThat(fixture.runs(id)).isOne();
            }
        }
    }

    /** Counts the signs that an upstream may have restarted. */
    private static final class RestartSigns implements RequestObserver {
        private final AtomicInteger count = new AtomicInteger();

        @Override
        public void finished(RequestRecord record) {
            // Only the signs of restarts are of interest here.
        }

        @Override
        public void upstreamMayHaveRestarted(InetSocketAddress upstream) {
            count.incrementAndGet();
        }

        private void await(int expected) {
            while (count.get() < expected) {
                Thread.onSpinWait();
            }
            assertThat(count).hasValue(expected);
        }
    }

    /**
     * Guards against an upstream that restarts unnoticed: it closes a connection that was just used, refuses new ones,
     * and is reachable again. Each of these is a sign; further refusals are not.
     */
    @Test
    @Timeout(20)
    void lostRefusedAndRestoredConnectionsAreSignsOfARestart() {
        RestartSigns signs = new RestartSigns();
        try (ProxyFixture fixture = ProxyFixture.of(1, 64, components -> components.withObserver(signs));
                RawCaller caller = fixture.caller()) {
            caller.call(get("/desk/1", "1"));
            assertThat(signs.count).hasValue(0);
            int port = fixture.upstream().address().getPort();
            fixture.upstream().close();
            signs.await(1);
            caller.call(get("/desk/2", "2"));
            signs.await(2);
            caller.call(get("/desk/3", "3"));
            fixture.restartUpstream(port);
            assertThat(caller.call(get("/desk/4", "4")).status()).isEqualTo(200);
            signs.await(3);
        }
    }

    /** The host itself closes a connection on which surplus bytes arrived; that says nothing about the upstream. */
    @ParameterizedTest
    @EnumSource(names = {"DUPLICATE_RESPONSE", "TRAILING_BYTES"})
    void connectionClosedByTheHostIsNoSignOfARestart(Fault fault) {
        RestartSigns signs = new RestartSigns();
        try (ProxyFixture fixture = ProxyFixture.of(1, 64, components -> components.withObserver(signs));
                RawCaller caller = fixture.caller()) {
            fixture.faultOnce(fault);
            for (int i = 0; i < 3; i++) {
                caller.call(get("/desk/" + i, "r" + i));
            }
            assertThat(signs.count).hasValue(0);
        }
    }
}
