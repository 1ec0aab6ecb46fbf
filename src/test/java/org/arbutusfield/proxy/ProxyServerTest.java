package org.arbutusfield.proxy;

import static org.arbutusfield.proxy.ProxyFixture.get;
import static org.arbutusfield.proxy.ProxyFixture.post;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import org.arbutusfield.http.SimpleHttpResponse;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.proxy.RawCaller.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ProxyServerTest {
    private final ProxyFixture fixture = ProxyFixture.of(
            2,
            64,
            components -> components.withLocalHandler(
                    (request, from) -> CompletableFuture.completedFuture(SimpleHttpResponse.text(
                            200, request.target() + " " + request.text() + " " + from.getHostString()))));

    @AfterEach
    void stop() {
        fixture.close();
    }

    @Test
    void keepsConnectionAliveAcrossRequests() {
        try (RawCaller caller = fixture.caller()) {
            for (int i = 0; i < 50; i++) {
                Response read = caller.call(get("/desk/quote?n=" + i, "r" + i));
                assertThat(read.text()).matches("u\\d GET /quote\\?n=" + i + "\n");
                assertThat(read.header("x-request-id")).isEqualTo("r" + i);
                Response booked = caller.call(post("/desk/book/" + i, "b" + i, "hall " + i));
                assertThat(booked.text()).endsWith("POST /book/" + i + "\nhall " + i);
                assertThat(fixture.runs("b" + i)).isEqualTo(1);
            }
        }
        assertThat(fixture.server.upstreamConnections()).isLessThanOrEqualTo(2);
    }

    @Test
    void relaysChunkedBodiesAndHeadRequests() {
        try (RawCaller caller = fixture.caller()) {
            caller.send("POST /desk/x HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n");
            assertThat(caller.call("3\r\nabc\r\n2;ext=1\r\nde\r\n0\r\n\r\n").text())
                    .endsWith("POST /x\nabcde");
            Response head = caller.send("HEAD /desk/blob/70000 HTTP/1.1\r\nhost: x\r\n\r\n")
                    .read(true);
            assertThat(head.header("content-length")).isEqualTo("70000");
            assertThat(caller.call(get("/desk/y", "y")).text()).endsWith("GET /y\n");
        }
    }

    @Test
    void sendsContinueToWaitingCaller() {
        try (RawCaller caller = fixture.caller()) {
            caller.send("POST /desk/x HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\n");
            assertThat(caller.read(false).status()).isEqualTo(100);
            assertThat(caller.call("ok").text()).endsWith("POST /x\nok");
        }
    }

    @Test
    void answersPipelinedRequestsInOrder() {
        try (RawCaller caller = fixture.caller()) {
            caller.send(get("/desk/1", "p1") + post("/desk/2", "p2", "two") + get("/desk/3", "p3"));
            assertThat(caller.read(false).text()).endsWith("GET /1\n");
            assertThat(caller.read(false).text()).endsWith("POST /2\ntwo");
            assertThat(caller.read(false).text()).endsWith("GET /3\n");
        }
    }

    @Test
    void streamsLargeBodiesBothWays() {
        byte[] large = new byte[3 << 20];
        try (RawCaller caller = fixture.caller()) {
            caller.send("POST /desk/large HTTP/1.1\r\nhost: x\r\nx-request-id: l\r\ncontent-length: " + large.length
                    + "\r\n\r\n");
            Response stored = caller.send(large).read(false);
            assertThat(stored.code()).isEmpty();
            assertThat(stored.body().length).isGreaterThanOrEqualTo(1 << 20);
            Response blob = caller.call(get("/desk/blob/5000000", "blob"));
            assertThat(blob.complete()).isTrue();
            assertThat(blob.body()).isEqualTo(BlobContent.bytes("/blob/5000000", 5_000_000));
        }
    }

    @Test
    void answersLocalPathsItself() {
        try (RawCaller caller = fixture.caller()) {
            assertThat(caller.call(post("/-/lookup?s=desk", "x", "b")).text())
                    .isEqualTo("/-/lookup?s=desk b 127.0.0.1");
            assertThat(caller.call(get("/-/lookup", "y")).text()).isEqualTo("/-/lookup  127.0.0.1");
        }
        assertThat(fixture.upstream().received()).isZero();
    }

    @Test
    void supportsHttp10() {
        try (RawCaller caller = fixture.caller()) {
            Response response = caller.call("GET /desk/old HTTP/1.0\r\n\r\n");
            assertThat(response.text()).endsWith("GET /old\n");
            assertThat(response.header("connection")).isEqualTo("close");
            assertThat(caller.closedByPeer()).isTrue();
        }
    }

    @ParameterizedTest
    @CsvSource({
        "GET /none/x,                                   404, SERVICE_UNKNOWN",
        "GET /desk/x,                                   200, ''",
        "GET http://desk/x,                             400, REQUEST_MALFORMED",
        "GET /desk/%zz,                                 400, REQUEST_MALFORMED",
        "OPTIONS *,                                     400, REQUEST_MALFORMED",
    })
    void refusesUnroutableTargets(String line, int status, String code) {
        try (RawCaller caller = fixture.caller()) {
            Response response = caller.call(line + " HTTP/1.1\r\nhost: x\r\n\r\n");
            assertThat(response.status()).isEqualTo(status);
            assertThat(response.code()).isEqualTo(code);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "x-request-deadline-ms: soon,            400, REQUEST_MALFORMED",
        "x-request-deadline-ms: 0,               503, DEADLINE_PASSED",
        "x-arbutus-hop: 2,                       503, NO_UPSTREAM",
        "x-arbutus-hop: -1,                      400, REQUEST_MALFORMED",
        "expect: more,                           400, REQUEST_MALFORMED",
    })
    void refusesInvalidHeaderFields(String field, int status, String code) {
        try (RawCaller caller = fixture.caller()) {
            Response response =
                    caller.call("GET /desk/x HTTP/1.1\r\nhost: x\r\nx-request-id: f\r\n" + field + "\r\n\r\n");
            assertThat(response.status()).isEqualTo(status);
            assertThat(response.code()).isEqualTo(code);
            assertThat(response.statesNotRun()).isTrue();
            assertThat(fixture.runs("f")).isZero();
        }
    }

    @Test
    void refusesInvalidRequestIdsAndGivesAnIdToRequestsWithout() {
        try (RawCaller caller = fixture.caller();
                RawCaller other = fixture.caller()) {
            Response refused = caller.call(get("/desk/x", "a b\"event=forged"));
            assertThat(refused.status()).isEqualTo(400);
            assertThat(refused.header("x-request-id")).matches("[0-9a-f]{32}");
            Response response = other.call("GET /desk/x HTTP/1.1\r\nhost: x\r\n\r\n");
            assertThat(response.status()).isEqualTo(200);
            assertThat(response.header("x-request-id")).matches("[0-9a-f]{32}");
        }
    }

    @Test
    void reportsMissingConfiguration() {
        ProxyServer empty = ProxyServer.bind(fixture.group, ProxyFixture.ANY_PORT, "gulf", Configuration::empty)
                .get();
        try (RawCaller caller = RawCaller.connect(empty.address())) {
            assertThat(caller.call(get("/desk/x", "x")).code()).isEqualTo("NO_CONFIGURATION");
        }
        empty.close();
    }
}
