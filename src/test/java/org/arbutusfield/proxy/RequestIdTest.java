package org.arbutusfield.proxy;

import static org.arbutusfield.proxy.ProxyFixture.get;
import static org.assertj.core.api.Assertions.assertThat;

import org.arbutusfield.proxy.RawCaller.Response;
import org.arbutusfield.proxy.ScriptedUpstream.Reply;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Ids and deadlines of requests, as callers print them. */
class RequestIdTest {
    private static final String ECHO = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nx-request-id: %s\r\n\r\n";

    private static ScriptedUpstream echo() {
        return ScriptedUpstream.start((number, id) -> Reply.keep(ECHO.formatted(id)));
    }

    /** Guards against a request that runs at its upstream under an id that no caller sent. */
    @ParameterizedTest
    @ValueSource(strings = {"7/Rk+2w8q0Y=", "a=b", "~", "{\"x\":1}", "a,b;c", "%20", "\\\"'"})
    void idPassesAsItCame(String id) {
        try (ScriptedUpstream upstream = echo();
                ProxyFixture fixture = upstream.fixture();
                RawCaller caller = fixture.caller()) {
            Response response = caller.call(get("/desk/quote", id));
            assertThat(response.status()).isEqualTo(200);
            assertThat(response.header("x-request-id")).isEqualTo(id);
            assertThat(upstream.lastId()).isEqualTo(id);
        }
    }

    /** An id that can't be passed on is refused, and never replaced. */
    @ParameterizedTest
    @ValueSource(strings = {"a b", "\u00e4", "a\tb", "", "a\r\nx-request-id: b"})
    void otherIdIsRefused(String id) {
        try (ScriptedUpstream upstream = echo();
                ProxyFixture fixture = upstream.fixture();
                RawCaller caller = fixture.caller()) {
            Response response = caller.call(get("/desk/quote", id));
            assertThat(response.status()).isEqualTo(400);
            assertThat(response.text()).contains("x-request-id");
            assertThat(upstream.requests()).isZero();
        }
    }

    @ParameterizedTest
    @CsvSource({"128, 200", "129, 400"})
    void idHasALongestLength(int length, int status) {
        try (ScriptedUpstream upstream = echo();
                ProxyFixture fixture = upstream.fixture();
                RawCaller caller = fixture.caller()) {
            assertThat(caller.call(get("/desk/quote", "x".repeat(length))).status())
                    .isEqualTo(status);
        }
    }

    /** Guards against a proper request that is refused because of the form in which its deadline is printed. */
    @ParameterizedTest
    @CsvSource({"2500.0, 200", "99999999999, 200", "1e3, 200", "soon, 400", "-1, 400"})
    void deadlineIsReadInEachFormOfADecimalNumber(String deadline, int status) {
        try (ScriptedUpstream upstream = echo();
                ProxyFixture fixture = upstream.fixture();
                RawCaller caller = fixture.caller()) {
            String request =
                    get("/desk/quote", "a").replace("host: x", "host: x\r\nx-request-deadline-ms: " + deadline);
            assertThat(caller.call(request).status()).isEqualTo(status);
        }
    }
}
