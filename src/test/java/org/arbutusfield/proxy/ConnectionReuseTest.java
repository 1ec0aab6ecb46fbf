package org.arbutusfield.proxy;

import static org.arbutusfield.proxy.ProxyFixture.get;
import static org.arbutusfield.proxy.ProxyFixture.post;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.arbutusfield.lab.Fault;
import org.arbutusfield.lab.UpstreamStandIn;
import org.arbutusfield.proxy.RawCaller.Answer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Connections to upstreams: limits, reuse, and those that must not be used again. */
class ConnectionReuseTest {

    @Test
    void staysWithinTheServersConnections() {
        try (ProxyFixture bench = ProxyFixture.of(1, 3, wiring -> wiring)) {
            UpstreamStandIn upstream = bench.upstream();
            upstream.hold(call -> true);
            List<RawCaller> callers = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                RawCaller caller = bench.caller();
                callers.add(caller.send(post("/desk/book/" + i, "b" + i, "")));
            }
            int refused = 0;
            while (upstream.busy() < 3 || bench.records.size() < 5) {
                Thread.onSpinWait();
            }
            for (RequestRecord record : bench.records) {
                assertThat(record.notRun()).isTrue();
                assertThat(bench.runs(record.requestId())).isZero();
                refused++;
            }
            assertThat(refused).isEqualTo(5);
            assertThat(upstream.peakConnections()).isEqualTo(3);
            callers.forEach(RawCaller::close);
        }
    }

    @Test
    void oneConnectionServesManyLoopsInTurn() {
        try (ProxyFixture bench = ProxyFixture.of(1, 1, wiring -> wiring)) {
            for (int i = 0; i < 20; i++) {
                try (RawCaller caller = bench.caller()) {
                    assertThat(caller.call(get("/desk/x" + i, "r" + i)).text()).endsWith("GET /x" + i + "\n");
                }
            }
            assertThat(bench.entry.upstreamConnections()).isEqualTo(1);
        }
    }

    /** The one connection has answered one request and got more bytes than that answer. */
    @ParameterizedTest
    @EnumSource(names = {"DUPLICATE_ANSWER", "STALE_ANSWER", "TRAILING_BYTES"})
    void surplusBytesNeverReachTheNextCaller(Fault fault) {
        for (int round = 0; round < 20; round++) {
            try (ProxyFixture bench = ProxyFixture.of(1)) {
                bench.faultOnce(fault);
                try (RawCaller caller = bench.caller()) {
                    assertThat(caller.call(get("/desk/first", "f")).text()).endsWith("GET /first\n");
                    for (int i = 0; i < 5; i++) {
                        Answer next = caller.call(get("/desk/next/" + i, "n" + i));
                        assertThat(next.text()).endsWith("GET /next/" + i + "\n");
                    }
                }
            }
        }
    }

    @Test
    void aRequestThatMayRunOnceNeverMeetsAStaleAnswerOfASilentIdServer() {
        try (ProxyFixture bench = ProxyFixture.of(1);
                RawCaller caller = bench.caller()) {
            bench.upstream().echoesIds(false);
            bench.upstream().faults((call, n) -> call.method().equals("GET") ? Fault.STALE_ANSWER : Fault.NONE);
            for (int i = 0; i < 50; i++) {
                caller.call(get("/desk/first", "f" + i));
                Answer booked = caller.call(post("/desk/book/" + i, "b" + i, "x"));
                assertThat(booked.text()).endsWith("POST /book/" + i + "\nx");
                assertThat(bench.runs("b" + i)).isEqualTo(1);
            }
        }
    }

    /** What stands between lost track of the open connections; a fresh one to the same server answers. */
    @Test
    void afterSilenceAFreshConnectionDecides() {
        try (ProxyFixture bench = ProxyFixture.of(1);
                RawCaller caller = bench.caller()) {
            caller.call(get("/desk/warm", "w"));
            bench.upstream().silenceExisting();
            String bounded = get("/desk/x", "x").replace("host: x", "host: x\r\nx-request-deadline-ms: 1000");
            assertThat(caller.call(bounded).text()).endsWith("GET /x\n");
            assertThat(bench.outcomes).doesNotContain(AttemptOutcome.FAILED);
            assertThat(bench.outcomes).contains(AttemptOutcome.CANCELLED);
        }
    }

    @Test
    void aSilentConnectionTakesItsIdleSiblingsWithIt() {
        try (ProxyFixture bench = ProxyFixture.of(1);
                RawCaller caller = bench.caller();
                RawCaller other = bench.caller()) {
            bench.upstream().hold(call -> true);
            caller.send(get("/desk/1", "1"));
            other.send(get("/desk/2", "2"));
            while (bench.upstream().busy() < 2) {
                Thread.onSpinWait();
            }
            bench.upstream().releaseHeld();
            caller.read(false);
            other.read(false);
            bench.upstream().silenceExisting();
            String bounded = get("/desk/x", "x").replace("host: x", "host: x\r\nx-request-deadline-ms: 600");
            assertThat(caller.call(bounded).text()).endsWith("GET /x\n");
            assertThat(bench.entry.upstreamConnections()).isEqualTo(1);
        }
    }

    @Test
    void aConnectionClosedWhileIdleCostsNothing() {
        try (ProxyFixture bench = ProxyFixture.of(1);
                RawCaller caller = bench.caller()) {
            caller.call(get("/desk/warm", "w"));
            bench.upstream().faults((call, n) -> Fault.NONE);
            bench.upstream().dropConnections();
            while (bench.entry.upstreamConnections() > 0) {
                Thread.onSpinWait();
            }
            assertThat(caller.call(post("/desk/book", "b", "x")).status()).isEqualTo(200);
            assertThat(bench.runs("b")).isEqualTo(1);
        }
    }
}
