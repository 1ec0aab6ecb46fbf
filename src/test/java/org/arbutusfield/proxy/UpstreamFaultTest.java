package org.arbutusfield.proxy;

import static org.arbutusfield.proxy.ProxyFixture.get;
import static org.arbutusfield.proxy.ProxyFixture.post;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusfield.lab.Fault;
import org.arbutusfield.proxy.RawCaller.Answer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Each fault of an upstream, for a request that may be repeated and for one that may not. */
class UpstreamFaultTest {

    /** One upstream has the fault on its first request; a second one is healthy. */
    @ParameterizedTest
    @CsvSource({
        "NONE,                  200, '',                1",
        "SHED,                  200, '',                1",
        "UNAVAILABLE,           503, '',                1",
        "CLOSE_UNRUN,           502, UPSTREAM_LOST,     0",
        "CLOSE_AFTER_RUN,       502, UPSTREAM_LOST,     1",
        "RESET_AFTER_RUN,       502, UPSTREAM_LOST,     1",
        "SILENT,                504, UPSTREAM_TIMEOUT,  1",
        "CUT_HEAD,              502, UPSTREAM_PROTOCOL, 1",
        "MALFORMED_ANSWER,      502, UPSTREAM_PROTOCOL, 1",
        "BOTH_LENGTHS,          502, UPSTREAM_PROTOCOL, 1",
        "CROSSED_ANSWER,        502, UPSTREAM_PROTOCOL, 1",
        "DUPLICATE_ANSWER,      200, '',                1",
        "STALE_ANSWER,          200, '',                1",
        "TRAILING_BYTES,        200, '',                1",
        "EARLY_ANSWER,          200, '',                1",
        "CLOSE_DELIMITED,       200, '',                1",
    })
    void notRepeatableRunsAtMostOnce(Fault fault, int status, String code, int runs) {
        try (ProxyFixture bench = ProxyFixture.of(2);
                RawCaller caller = bench.caller()) {
            bench.faultOnce(fault);
            String request =
                    post("/desk/book/1", "b1", "hall").replace("host: x", "host: x\r\nx-request-deadline-ms: 700");
            Answer answer = caller.call(request);
            assertThat(answer.whole()).isTrue();
            assertThat(answer.status()).isEqualTo(status);
            assertThat(answer.code()).isEqualTo(code);
            assertThat(bench.runs("b1")).isEqualTo(runs);
            if (!code.isEmpty()) {
                assertThat(answer.saysUnknown()).isTrue();
            }
        }
    }

    /** The same faults, after which a healthy upstream answers. */
    @ParameterizedTest
    @EnumSource(
            names = {
                "NONE",
                "SHED",
                "CLOSE_UNRUN",
                "CLOSE_AFTER_RUN",
                "RESET_AFTER_RUN",
                "CUT_HEAD",
                "MALFORMED_ANSWER",
                "BOTH_LENGTHS",
                "CROSSED_ANSWER",
                "DUPLICATE_ANSWER",
                "STALE_ANSWER",
                "TRAILING_BYTES",
                "CLOSE_DELIMITED"
            })
    void repeatableIsAnsweredElsewhere(Fault fault) {
        try (ProxyFixture bench = ProxyFixture.of(2);
                RawCaller caller = bench.caller()) {
            bench.faultOnce(fault);
            for (int i = 0; i < 20; i++) {
                Answer answer = caller.call(get("/desk/quote/" + i, "q" + i));
                assertThat(answer.whole()).isTrue();
                assertThat(answer.status()).isEqualTo(200);
                assertThat(answer.text()).endsWith("GET /quote/" + i + "\n");
            }
            assertThat(bench.permitsHeld).hasValue(0);
        }
    }

    /** With no healthy upstream the refusal tells the truth, for both classes of request. */
    @ParameterizedTest
    @CsvSource({
        "SHED,            UPSTREAM_SHED,     true",
        "CLOSE_UNRUN,     UPSTREAM_LOST,     false",
        "CLOSE_AFTER_RUN, UPSTREAM_LOST,     false",
        "RESET_AFTER_RUN, UPSTREAM_LOST,     false",
        "CUT_HEAD,        UPSTREAM_PROTOCOL, false",
        "CROSSED_ANSWER,  UPSTREAM_PROTOCOL, false",
    })
    void refusalTellsTheTruth(Fault fault, String code, boolean notRun) throws InterruptedException {
        try (ProxyFixture bench = ProxyFixture.of(2);
                RawCaller caller = bench.caller()) {
            bench.upstreams.forEach(u -> u.faults((call, n) -> fault));
            Answer read = caller.call(get("/desk/quote", "q"));
            assertThat(read.code()).isEqualTo(code);
            assertThat(read.saysNotRun()).isEqualTo(notRun);
            assertThat(read.header("x-not-run")).isEqualTo(Boolean.toString(notRun));
            assertThat(bench.nextRecord().notRun()).isEqualTo(notRun);
            Answer booked = caller.call(post("/desk/book", "b", ""));
            assertThat(booked.saysNotRun()).isEqualTo(notRun);
            if (notRun) {
                assertThat(bench.runs("q") + bench.runs("b")).isZero();
            }
        }
    }

    /** After one try whose outcome is unknown, a refusal by the next one does not make the request not run. */
    @ParameterizedTest
    @CsvSource({"CLOSE_AFTER_RUN, SHED", "RESET_AFTER_RUN, SHED", "CROSSED_ANSWER, SHED"})
    void unknownStaysUnknown(Fault first, Fault then) {
        try (ProxyFixture bench = ProxyFixture.of(2);
                RawCaller caller = bench.caller()) {
            bench.faultOnce(Fault.NONE);
            AtomicInteger count = new AtomicInteger();
            bench.upstreams.forEach(u -> u.faults((call, n) -> count.getAndIncrement() == 0 ? first : then));
            Answer answer = caller.call(get("/desk/quote", "q"));
            assertThat(bench.runs("q")).isEqualTo(1);
            assertThat(answer.saysUnknown()).isTrue();
            assertThat(answer.header("x-not-run")).isEqualTo("false");
        }
    }

    /** An answer cut midway is resumed under its validator, or the caller's connection breaks. */
    @ParameterizedTest
    @CsvSource({
        "CUT_BODY,              /blob/300000, true",
        "RESET_BODY,            /blob/300000, true",
        "SILENT_BODY,           /blob/300000, true",
        "CUT_BODY,              /text,        false",
        "RESET_BODY,            /text,        false",
        "CUT_CHUNKS,            /text,        false",
        "CLOSE_DELIMITED_RESET, /text,        false",
    })
    void cutAnswersAreResumedOrBreak(Fault fault, String target, boolean resumed) throws InterruptedException {
        try (ProxyFixture bench = ProxyFixture.of(2);
                RawCaller caller = bench.caller()) {
            bench.faultOnce(fault);
            Answer answer = caller.call(get("/desk" + target, "d"));
            assertThat(answer.whole()).isEqualTo(resumed);
            if (resumed) {
                assertThat(answer.body()).isEqualTo(BlobContent.bytes(target, 300_000));
            }
            RequestRecord.Result result = bench.nextRecord().outcome();
            assertThat(result).isEqualTo(resumed ? RequestRecord.Result.WHOLE : RequestRecord.Result.CUT);
        }
    }

    /** The rest of another version is not passed on as the rest of the first. */
    @ParameterizedTest
    @CsvSource({"\"v2\"", "W/\"v1\""})
    void otherVersionsDoNotContinueAnAnswer(String validator) {
        try (ProxyFixture bench = ProxyFixture.of(2);
                RawCaller caller = bench.caller()) {
            AtomicInteger count = new AtomicInteger();
            bench.upstreams.forEach(u -> u.faults((call, n) -> {
                if (count.getAndIncrement() == 0) {
                    bench.upstreams.stream().filter(other -> other != u).forEach(other -> other.validator(validator));
                    return Fault.CUT_BODY;
                }
                return Fault.NONE;
            }));
            Answer answer = caller.call(get("/desk/blob/300000", "d"));
            assertThat(answer.status()).isEqualTo(200);
            assertThat(answer.whole()).isFalse();
        }
    }
}
