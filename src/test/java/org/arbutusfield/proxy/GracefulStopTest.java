package org.arbutusfield.proxy;

import static org.arbutusfield.proxy.ProxyFixture.get;
import static org.arbutusfield.proxy.ProxyFixture.post;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.arbutusfield.proxy.RawCaller.Answer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A planned stop cuts no request short. */
class GracefulStopTest {
    private static final Duration LIMIT = Duration.ofSeconds(30);
    private static final int LARGE = 20_000_000;

    private final ProxyFixture bench = ProxyFixture.of(2);

    @AfterEach
    void stop() {
        bench.close();
    }

    @Test
    void whileLeavingItServesAndAsksCallersToGo() {
        try (RawCaller caller = bench.caller();
                RawCaller late = bench.caller()) {
            assertThat(caller.call(get("/desk/x", "1")).header("connection")).isNull();
            bench.entry.leave();
            Answer answer = caller.call(get("/desk/x", "2"));
            assertThat(answer.status()).isEqualTo(200);
            assertThat(answer.header("connection")).isEqualTo("close");
            assertThat(caller.closedByPeer()).isTrue();
            assertThat(late.call(get("/desk/x", "3")).status()).isEqualTo(200);
        }
    }

    @Test
    void finishesALongDownloadAndASlowUploadAtOnce() throws Exception {
        try (RawCaller download = RawCaller.connect(bench.entry.address(), 32 << 10);
                RawCaller upload = bench.caller();
                RawCaller idle = bench.caller()) {
            assertThat(idle.call(get("/desk/x", "i")).status()).isEqualTo(200);
            download.send(get("/desk/blob/" + LARGE, "d"));
            assertThat(download.in().read()).isEqualTo('H');
            byte[] half = new byte[200_000];
            upload.send("POST /desk/book HTTP/1.1\r\nhost: x\r\nx-request-id: u\r\ncontent-length: 400000\r\n\r\n");
            upload.send(half);
            awaitInFlight(2);

            CompletableFuture<Integer> first = bench.entry.drain(LIMIT);
            CompletableFuture<Integer> second = bench.entry.drain(LIMIT);
            assertThat(idle.closedByPeer()).isTrue();
            assertThat(first.isDone()).isFalse();

            assertThat(upload.send(half).read(false).status()).isEqualTo(200);
            assertThat(restOf(download)).isGreaterThan(LARGE);
            upload.hangUp();
            download.hangUp();
            assertThat(first.get(20, TimeUnit.SECONDS)).isZero();
            assertThat(second.get(20, TimeUnit.SECONDS)).isZero();
        }
        assertThat(bench.runs("u")).isEqualTo(1);
        assertThat(bench.permitsHeld).hasValue(0);
    }

    @Test
    void aRequestThatRacesTheCloseIsNotRunAndCut() throws Exception {
        for (int round = 0; round < 20; round++) {
            ProxyFixture one = ProxyFixture.of(1);
            try (one;
                    RawCaller caller = one.caller()) {
                caller.call(get("/desk/x", "warm"));
                CompletableFuture<Integer> drained = one.entry.drain(LIMIT);
                Answer answer = Answer.NONE;
                try {
                    answer = caller.call(post("/desk/book", "race", ""));
                } catch (java.io.UncheckedIOException e) {
                    assertThat(e.getCause()).isInstanceOf(IOException.class);
                }
                caller.hangUp();
                assertThat(drained.get(20, TimeUnit.SECONDS)).isZero();
                assertThat(one.runs("race")).isEqualTo(answer.whole() ? 1 : 0);
            }
        }
    }

    @Test
    void waitsForTheRequestThatRuns() throws Exception {
        bench.upstreams.forEach(u -> u.hold(call -> call.target().equals("/held")));
        try (RawCaller caller = bench.caller()) {
            caller.send(get("/desk/held", "h"));
            while (bench.runs("h") == 0) {
                Thread.onSpinWait();
            }
            CompletableFuture<Integer> drained = bench.entry.drain(LIMIT);
            assertThat(drained.isDone()).isFalse();
            bench.upstreams.forEach(u -> {
                while (u.busy() > 0 && !drained.isDone()) {
                    u.releaseHeld();
                    Thread.onSpinWait();
                }
            });
            assertThat(caller.read(false).text()).endsWith("GET /held\n");
            caller.hangUp();
            assertThat(drained.get(20, TimeUnit.SECONDS)).isZero();
        }
    }

    @Test
    void tellsWhatItLeftWhenTheLimitPasses() throws Exception {
        bench.upstreams.forEach(u -> u.hold(call -> true));
        try (RawCaller caller = bench.caller()) {
            caller.send(get("/desk/held", "h"));
            awaitInFlight(1);
            assertThat(bench.entry.drain(Duration.ofMillis(1)).get(20, TimeUnit.SECONDS))
                    .isEqualTo(1);
        }
    }

    private void awaitInFlight(int count) {
        while (bench.entry.inFlight() < count) {
            Thread.onSpinWait();
        }
    }

    private static long restOf(RawCaller caller) throws IOException {
        long count = 0;
        byte[] buffer = new byte[64 << 10];
        int got = caller.in().read(buffer);
        while (got > 0) {
            count += got;
            got = caller.in().read(buffer);
        }
        return count;
    }
}
