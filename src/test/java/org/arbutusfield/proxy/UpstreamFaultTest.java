package org.arbutusfield.proxy;

import static org.arbutusfield.proxy.ProxyFixture.get;
import static org.arbutusfield.proxy.ProxyFixture.post;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusfield.lab.Fault;
import org.arbutusfield.proxy.RawCaller.Response;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Each fault of an upstream, for repeatable and non-repeatable requests. */
class UpstreamFaultTest {

    /** One upstream fails on its first request; a second one is healthy. */
    @ParameterizedTest
    @CsvSource({
        "NONE,                  200, '',                1",
        "SHED,                  200, '',                1",
        "UNAVAILABLE,           503, '',                1",
        "CLOSE_BEFORE_RUN,      502, UPSTREAM_LOST,     0",
        "CLOSE_AFTER_RUN,       502, UPSTREAM_LOST,     1",
        "RESET_AFTER_RUN,       502, UPSTREAM_LOST,     1",
        "SILENT,                504, UPSTREAM_TIMEOUT,  1",
        "TRUNCATED_HEAD,        502, UPSTREAM_PROTOCOL, 1",
        "MALFORMED_RESPONSE,    502, UPSTREAM_PROTOCOL, 1",
        "CONFLICTING_LENGTHS,   502, UPSTREAM_PROTOCOL, 1",
        "TWO_LENGTHS,           502, UPSTREAM_PROTOCOL, 1",
        "WRONG_REQUEST_ID,      502, UPSTREAM_PROTOCOL, 1",
        "DUPLICATE_RESPONSE,    200, '',                1",
        "LATE_DUPLICATE,        200, '',                1",
        "TRAILING_BYTES,        200, '',                1",
        "EARLY_RESPONSE,        200, '',                1",
        "CLOSE_DELIMITED,       200, '',                1",
    })
    void nonRepeatableRequestRunsAtMostOnce(Fault fault, int status, String code, int runs) {
        try (ProxyFixture fixture = ProxyFixture.of(2);
                RawCaller caller = fixture.caller()) {
            fixture.faultOnce(fault);
            String request =
                    post("/desk/book/1", "b1", "hall").replace("host: x", "host: x\r\nx-request-deadline-ms: 700");
            Response response = caller.call(request);
            assertThat(response.complete()).isTrue();
            assertThat(response.status()).isEqualTo(status);
            assertThat(response.code()).isEqualTo(code);
            assertThat(fixture.runs("b1")).isEqualTo(runs);
            if (!code.isEmpty()) {
                assertThat(response.statesUnknown()).isTrue();
            }
        }
    }

    /** The same faults; a healthy upstream then answers the retried request. */
    @ParameterizedTest
    @EnumSource(
            names = {
                "NONE",
                "SHED",
                "CLOSE_BEFORE_RUN",
                "CLOSE_AFTER_RUN",
                "RESET_AFTER_RUN",
                "TRUNCATED_HEAD",
                "MALFORMED_RESPONSE",
                "CONFLICTING_LENGTHS",
                "TWO_LENGTHS",
                "WRONG_REQUEST_ID",
                "DUPLICATE_RESPONSE",
                "LATE_DUPLICATE",
                "TRAILING_BYTES",
                "CLOSE_DELIMITED"
            })
    void repeatableRequestIsRetriedAtAnotherUpstream(Fault fault) {
        try (ProxyFixture fixture = ProxyFixture.of(2);
                RawCaller caller = fixture.caller()) {
            fixture.faultOnce(fault);
            for (int i = 0; i < 20; i++) {
                Response response = caller.call(get("/desk/quote/" + i, "q" + i));
                assertThat(response.complete()).isTrue();
                assertThat(response.status()).isEqualTo(200);
                assertThat(response.text()).endsWith("GET /quote/" + i + "\n");
            }
            assertThat(fixture.permitsHeld).hasValue(0);
        }
    }

    /**
     * Without a healthy upstream, the failure states correctly whether the request was run, for both classes of
     * request.
     */
    @ParameterizedTest
    @CsvSource({
        "SHED,            UPSTREAM_SHED,     true",
        "CLOSE_BEFORE_RUN, UPSTREAM_LOST,     false",
        "CLOSE_AFTER_RUN, UPSTREAM_LOST,     false",
        "RESET_AFTER_RUN, UPSTREAM_LOST,     false",
        "TRUNCATED_HEAD,  UPSTREAM_PROTOCOL, false",
        "WRONG_REQUEST_ID, UPSTREAM_PROTOCOL, false",
    })
    void failureReportsExecutionCorrectly(Fault fault, String code, boolean notRun) throws InterruptedException {
        try (ProxyFixture fixture = ProxyFixture.of(2);
                RawCaller caller = fixture.caller()) {
            fixture.upstreams.forEach(u -> u.injectFaults((request, n) -> fault));
            Response read = caller.call(get("/desk/quote", "q"));
            assertThat(read.code()).isEqualTo(code);
            assertThat(read.statesNotRun()).isEqualTo(notRun);
            assertThat(read.header("x-not-run")).isEqualTo(Boolean.toString(notRun));
            assertThat(fixture.nextRecord().notRun()).isEqualTo(notRun);
            Response booked = caller.call(post("/desk/book", "b", ""));
            assertThat(booked.statesNotRun()).isEqualTo(notRun);
            if (notRun) {
                assertThat(fixture.runs("q") + fixture.runs("b")).isZero();
            }
        }
    }

    /** After an attempt with an unknown outcome, a refusal of the next attempt must not be reported as not run. */
    @ParameterizedTest
    @CsvSource({"CLOSE_AFTER_RUN, SHED", "RESET_AFTER_RUN, SHED", "WRONG_REQUEST_ID, SHED"})
    void unknownOutcomeIsKeptAfterLaterRefusal(Fault first, Fault then) {
        try (ProxyFixture fixture = ProxyFixture.of(2);
                RawCaller caller = fixture.caller()) {
            fixture.faultOnce(Fault.NONE);
            AtomicInteger count = new AtomicInteger();
            fixture.upstreams.forEach(u -> u.injectFaults((request, n) -> count.getAndIncrement() == 0 ? first : then));
            Response response = caller.call(get("/desk/quote", "q"));
            assertThat(fixture.runs("q")).isEqualTo(1);
            assertThat(response.statesUnknown()).isTrue();
            assertThat(response.header("x-not-run")).isEqualTo("false");
        }
    }

    /** A truncated response is resumed if its validator matches; otherwise the connection to the caller is reset. */
    @ParameterizedTest
    @CsvSource({
        "TRUNCATED_BODY,        /blob/300000, true",
        "RESET_BODY,            /blob/300000, true",
        "SILENT_BODY,           /blob/300000, true",
        "TRUNCATED_BODY,        /text,        false",
        "RESET_BODY,            /text,        false",
        "TRUNCATED_CHUNKS,      /text,        false",
        "CLOSE_DELIMITED_RESET, /text,        false",
    })
    void truncatedResponseIsResumedOrConnectionReset(Fault fault, String target, boolean resumed)
            throws InterruptedException {
        try (ProxyFixture fixture = ProxyFixture.of(2);
                RawCaller caller = fixture.caller()) {
            fixture.faultOnce(fault);
            Response response = caller.call(get("/desk" + target, "d"));
            assertThat(response.complete()).isEqualTo(resumed);
            if (resumed) {
                assertThat(response.body()).isEqualTo(BlobContent.bytes(target, 300_000));
            }
            RequestRecord.Result result = fixture.nextRecord().outcome();
            assertThat(result).isEqualTo(resumed ? RequestRecord.Result.WHOLE : RequestRecord.Result.CUT);
        }
    }

    /** The rest of a different version is not relayed as the rest of the first response. */
    @ParameterizedTest
    @CsvSource({"\"v2\"", "W/\"v1\""})
    void responseIsNotResumedFromOtherVersion(String validator) {
        try (ProxyFixture fixture = ProxyFixture.of(2);
                RawCaller caller = fixture.caller()) {
            AtomicInteger count = new AtomicInteger();
            fixture.upstreams.forEach(u -> u.injectFaults((request, n) -> {
                if (count.getAndIncrement() == 0) {
                    fixture.upstreams.stream().filter(other -> other != u).forEach(other -> other.entityTag(validator));
                    return Fault.TRUNCATED_BODY;
                }
                return Fault.NONE;
            }));
            Response response = caller.call(get("/desk/blob/300000", "d"));
            assertThat(response.status()).isEqualTo(200);
            assertThat(response.complete()).isFalse();
        }
    }
}
