package org.arbutusfield.proxy;

import static org.arbutusfield.proxy.ProxyFixture.get;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.arbutusfield.proxy.RawCaller.Response;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Malformed, oversized and slow requests, sent by mistake or by an attacker. They are refused before they reach an
 * upstream.
 */
class BadInputTest {
    private static final String POST = "POST /desk/book HTTP/1.1\r\nhost: x\r\nx-request-id: s\r\n";
    private static final String OLD_POST = POST.replace("HTTP/1.1", "HTTP/1.0");
    private static final String SMUGGLED = "GET /desk/smuggled HTTP/1.1\r\nhost: x\r\n\r\n";
    private static final ProxyFixture FIXTURE =
            ProxyFixture.of(1, 64, components -> components.withLimits(limits(Duration.ofSeconds(10))));
    private static final ProxyFixture SHORT_TIMEOUTS =
            ProxyFixture.of(1, 64, components -> components.withLimits(limits(Duration.ofMillis(300))));

    @AfterAll
    static void stop() {
        FIXTURE.close();
        SHORT_TIMEOUTS.close();
    }

    static ProxyLimits limits(Duration timeout) {
        ProxyLimits standard = ProxyLimits.defaults();
        return new ProxyLimits(
                standard.callerConnections(),
                standard.headBytes(),
                1 << 20,
                standard.replayBytes(),
                standard.hostReplayBytes(),
                standard.hostPendingBytes(),
                timeout,
                timeout,
                Duration.ofSeconds(20),
                Duration.ofSeconds(1),
                standard.connectTimeout(),
                standard.progressTimeout(),
                Duration.ofMillis(500),
                standard.nonRepeatableReuseLimit(),
                standard.attempts());
    }

    static Stream<Arguments> malformed() {
        return Stream.of(
                Arguments.of("both lengths", POST + "content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
                Arguments.of("both, other order", POST + "transfer-encoding: chunked\r\ncontent-length: 4\r\n\r\nabcd"),
                Arguments.of("two lengths", POST + "content-length: 4\r\ncontent-length: 5\r\n\r\nabcd"),
                Arguments.of("equal lengths twice", POST + "content-length: 4\r\ncontent-length: 4\r\n\r\nabcd"),
                Arguments.of("list of lengths", POST + "content-length: 4, 4\r\n\r\nabcd"),
                Arguments.of("signed length", POST + "content-length: +4\r\n\r\nabcd"),
                Arguments.of("negative length", POST + "content-length: -1\r\n\r\n"),
                Arguments.of("hexadecimal length", POST + "content-length: 0x4\r\n\r\nabcd"),
                Arguments.of("huge length", POST + "content-length: 99999999999999999999\r\n\r\n"),
                Arguments.of("chunked twice", POST + "transfer-encoding: chunked, chunked\r\n\r\n0\r\n\r\n"),
                Arguments.of(
                        "two encodings", POST + "transfer-encoding: chunked\r\ntransfer-encoding: x\r\n\r\n0\r\n\r\n"),
                Arguments.of("unknown encoding", POST + "transfer-encoding: identity\r\n\r\n"),
                Arguments.of("disguised encoding", POST + "transfer-encoding: xchunked\r\n\r\n0\r\n\r\n"),
                Arguments.of("quoted encoding", POST + "transfer-encoding: \"chunked\"\r\n\r\n0\r\n\r\n"),
                Arguments.of("two lengths in 1.0", OLD_POST + "content-length: 4\r\ncontent-length: 5\r\n\r\nabcd"),
                Arguments.of(
                        "longer length first in 1.0", OLD_POST + "content-length: 5\r\ncontent-length: 4\r\n\r\nabcd"),
                Arguments.of(
                        "both in 1.0", OLD_POST + "content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
                Arguments.of(
                        "both in 1.0, other order",
                        OLD_POST + "transfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n0\r\n\r\n"),
                Arguments.of("chunked only in 1.0", OLD_POST + "transfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
                Arguments.of("bytes behind a chunk", POST + "transfer-encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n"),
                Arguments.of(
                        "two sizes of a chunk", POST + "transfer-encoding: chunked\r\n\r\n3 4\r\nabc\r\n0\r\n\r\n"),
                Arguments.of(
                        "control byte in a chunk's line",
                        POST + "transfer-encoding: chunked\r\n\r\n3;\u0000\r\nabc\r\n0\r\n\r\n"),
                Arguments.of("control byte before the request", "\u0000GET /desk/x HTTP/1.1\r\nhost: x\r\n\r\n"),
                Arguments.of("blank before the request", " GET /desk/x HTTP/1.1\r\nhost: x\r\n\r\n"),
                Arguments.of("two blanks in the request line", "GET  /desk/x HTTP/1.1\r\nhost: x\r\n\r\n"),
                Arguments.of("blank in the target", "GET /desk/x y HTTP/1.1\r\nhost: x\r\n\r\n"),
                Arguments.of("blank behind the version", "GET /desk/x HTTP/1.1 \r\nhost: x\r\n\r\n"),
                Arguments.of("no version", "GET /desk/x\r\nhost: x\r\n\r\n"),
                Arguments.of("chunk size", POST + "transfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n"),
                Arguments.of("negative chunk", POST + "transfer-encoding: chunked\r\n\r\n-1\r\nabc\r\n0\r\n\r\n"),
                Arguments.of("huge chunk", POST + "transfer-encoding: chunked\r\n\r\nfffffffff\r\nabc\r\n0\r\n\r\n"),
                Arguments.of("folded line", POST + "x-note: a\r\n b\r\n\r\n"),
                Arguments.of("folded length", POST + "content-length:\r\n 4\r\n\r\nabcd"),
                Arguments.of("tab folded", POST + "x-note: a\r\n\tcontent-length: 4\r\n\r\n"),
                Arguments.of("space before colon", POST + "content-length : 4\r\n\r\nabcd"),
                Arguments.of("no colon", POST + "nonsense\r\n\r\n"),
                Arguments.of("control byte", POST + "x-note: a\u0000b\r\n\r\n"),
                Arguments.of("NUL in the target", "GET /desk/x\u0000y HTTP/1.1\r\nhost: x\r\n\r\n"),
                Arguments.of("control byte in the target", "GET /desk/x\u0001 HTTP/1.1\r\nhost: x\r\n\r\n"),
                Arguments.of("no host", "GET /desk/x HTTP/1.1\r\n\r\n"),
                Arguments.of("two hosts", "GET /desk/x HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n"),
                Arguments.of("version", "GET /desk/x HTTP/2.0\r\nhost: x\r\n\r\n"),
                Arguments.of("chunked in 1.0", "POST /desk/x HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
                Arguments.of("not HTTP", "\u0016\u0003\u0001\u0002\u0000 GET\r\n\r\n"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("malformed")
    void malformedRequestIsRefusedAndConnectionClosed(String name, String bytes) {
        long before = FIXTURE.upstream().received();
        try (RawCaller caller = FIXTURE.caller()) {
            Response response = caller.call(bytes + SMUGGLED);
            assertThat(response.status()).isEqualTo(400);
            assertThat(response.code()).isEqualTo("REQUEST_MALFORMED");
            assertThat(response.statesNotRun()).isTrue();
            assertThat(response.header("connection")).isEqualTo("close");
            assertThat(caller.closedByPeer()).isTrue();
        }
        assertThat(FIXTURE.upstream().received()).isEqualTo(before);
    }

    @ParameterizedTest
    @CsvSource({"header", "line", "length", "chunked"})
    void oversizedRequestIsRefused(String part) {
        long runs = FIXTURE.runs("big");
        try (RawCaller caller = FIXTURE.caller()) {
            String head = "POST /desk/x HTTP/1.1\r\nhost: x\r\nx-request-id: big\r\n";
            String bytes =
                    switch (part) {
                        case "header" -> head + "x-note: " + "a".repeat(20_000) + "\r\n\r\n";
                        case "line" -> "GET /desk/" + "a".repeat(20_000) + " HTTP/1.1\r\nhost: x\r\n\r\n";
                        case "length" -> head + "content-length: 2000000\r\n\r\n";
                        default -> head + "transfer-encoding: chunked\r\n\r\n1e8480\r\n" + "a".repeat(1_500_000);
                    };
            Response response = caller.call(bytes);
            boolean inHead = part.equals("header") || part.equals("line");
            assertThat(response.status()).isIn(inHead ? List.of(431) : List.of(413, 400));
            assertThat(response.code())
                    .isIn(inHead ? List.of("REQUEST_HEAD_TOO_LARGE") : List.of("REQUEST_TOO_LARGE", "REQUEST_BROKEN"));
            assertThat(response.statesNotRun()).isEqualTo(!response.code().equals("REQUEST_BROKEN"));
        }
        assertThat(FIXTURE.runs("big")).isEqualTo(runs);
    }

    @ParameterizedTest
    @CsvSource({
        "'GET /desk/x HTTP/1.1\r\nho',                                                     REQUEST_TIMEOUT, true",
        "'POST /desk/book HTTP/1.1\r\nhost: x\r\nx-request-deadline-ms: 300\r\ncontent-length: 5\r\n\r\nab', "
                + "REQUEST_TIMEOUT, true",
        "'POST /-/note HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nab', REQUEST_TIMEOUT, true",
        "'POST /desk/book HTTP/1.1\r\nhost: x\r\ncontent-length: 900000\r\n\r\nab',          REQUEST_BROKEN, false",
    })
    void slowRequestsAreRefused(String bytes, String code, boolean notRun) {
        try (RawCaller caller = SHORT_TIMEOUTS.caller()) {
            Response response = caller.call(bytes);
            assertThat(response.code()).isEqualTo(code);
            assertThat(response.statesNotRun()).isEqualTo(notRun);
            assertThat(caller.closedByPeer()).isTrue();
        }
    }

    @Test
    void requestClassIsFoundByNormalisedPath() throws InterruptedException {
        for (String path : new String[] {"/desk/%62ook", "/desk//book", "/desk/x/../book", "/desk/./book/1"}) {
            try (RawCaller caller = FIXTURE.caller()) {
                FIXTURE.records.clear();
                assertThat(caller.call(get(path, "p")).status()).isEqualTo(200);
                assertThat(FIXTURE.nextRecord().requestClass()).isEqualTo("book");
            }
        }
    }

    @Test
    void connectionsBeyondLimitAreRefused() {
        ProxyLimits oneConnection = new ProxyLimits(
                1,
                1 << 14,
                1 << 20,
                1 << 16,
                1 << 20,
                1 << 20,
                Duration.ofSeconds(5),
                Duration.ofSeconds(5),
                Duration.ofSeconds(5),
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                Duration.ofSeconds(5),
                Duration.ofSeconds(1),
                2);
        try (ProxyFixture fixture = ProxyFixture.of(1, 64, components -> components.withLimits(oneConnection));
                RawCaller first = fixture.caller()) {
            assertThat(first.call(get("/desk/x", "1")).status()).isEqualTo(200);
            try (RawCaller second = fixture.caller()) {
                assertThat(second.call(get("/desk/x", "2")).code()).isEqualTo("CONNECTION_LIMIT");
            }
            assertThat(fixture.runs("2")).isZero();
            assertThat(first.call(get("/desk/x", "3")).status()).isEqualTo(200);
        }
    }

    @Test
    void manyTinyChunksAreAccepted() {
        try (RawCaller caller = FIXTURE.caller()) {
            StringBuilder chunks = new StringBuilder(POST).append("transfer-encoding: chunked\r\n\r\n");
            for (int i = 0; i < 40_000; i++) {
                chunks.append("1\r\na\r\n");
            }
            Response response = caller.call(chunks.append("0\r\n\r\n").toString());
            assertThat(response.text()).endsWith("a".repeat(40_000));
        }
    }
}
