package org.arbutusfield.proxy;

import static org.arbutusfield.proxy.ProxyFixture.get;
import static org.arbutusfield.proxy.ProxyFixture.post;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.arbutusfield.proxy.RawCaller.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A graceful shutdown does not abort requests in progress. */
class GracefulStopTest {
    private static final Duration DRAIN_LIMIT = Duration.ofSeconds(30);
    private static final int LARGE_BYTES = 20_000_000;

    private final ProxyFixture fixture = ProxyFixture.of(2);

    @AfterEach
    void stop() {
        fixture.close();
    }

    @Test
    void leavingServerAnswersAndClosesConnections() {
        try (RawCaller caller = fixture.caller();
                RawCaller other = fixture.caller()) {
            assertThat(caller.call(get("/desk/x", "1")).header("connection")).isNull();
            fixture.server.leave(DRAIN_LIMIT);
            Response response = caller.call(get("/desk/x", "2"));
            assertThat(response.status()).isEqualTo(200);
            assertThat(response.header("connection")).isEqualTo("close");
            assertThat(caller.closedByPeer()).isTrue();
            assertThat(other.call(get("/desk/x", "3")).status()).isEqualTo(200);
        }
    }

    @Test
    void drainWaitsForDownloadAndUpload() throws Exception {
        try (RawCaller download = RawCaller.connect(fixture.server.address(), 32 << 10);
                RawCaller upload = fixture.caller();
                RawCaller idle = fixture.caller()) {
            assertThat(idle.call(get("/desk/x", "i")).status()).isEqualTo(200);
            download.send(get("/desk/blob/" + LARGE_BYTES, "d"));
            assertThat(download.in().read()).isEqualTo('H');
            byte[] half = new byte[200_000];
            upload.send("POST /desk/book HTTP/1.1\r\nhost: x\r\nx-request-id: u\r\ncontent-length: 400000\r\n\r\n");
            upload.send(half);
            awaitInFlight(2);

            CompletableFuture<Integer> first = fixture.server.drain(DRAIN_LIMIT);
            CompletableFuture<Integer> second = fixture.server.drain(DRAIN_LIMIT);
            assertThat(idle.closedByPeer()).isTrue();
            assertThat(first.isDone()).isFalse();

            assertThat(upload.send(half).read(false).status()).isEqualTo(200);
            assertThat(countRemainingBytes(download)).isGreaterThan(LARGE_BYTES);
            upload.disconnect();
            download.disconnect();
            assertThat(first.get(20, TimeUnit.SECONDS)).isZero();
            assertThat(second.get(20, TimeUnit.SECONDS)).isZero();
        }
        assertThat(fixture.runs("u")).isEqualTo(1);
        assertThat(fixture.permitsHeld).hasValue(0);
    }

    @Test
    void requestRacingWithCloseIsAnsweredOrNotRun() throws Exception {
        for (int round = 0; round < 20; round++) {
            ProxyFixture singleUpstream = ProxyFixture.of(1);
            try (singleUpstream;
                    RawCaller caller = singleUpstream.caller()) {
                caller.call(get("/desk/x", "warm"));
                CompletableFuture<Integer> drained = singleUpstream.server.drain(DRAIN_LIMIT);
                Response response = Response.NONE;
                try {
                    response = caller.call(post("/desk/book", "race", ""));
                } catch (java.io.UncheckedIOException e) {
                    assertThat(e.getCause()).isInstanceOf(IOException.class);
                }
                caller.disconnect();
                assertThat(drained.get(20, TimeUnit.SECONDS)).isZero();
                assertThat(singleUpstream.runs("race")).isEqualTo(response.complete() ? 1 : 0);
            }
        }
    }

    @Test
    void drainWaitsForRunningRequest() throws Exception {
        fixture.upstreams.forEach(
                u -> u.holdResponses(request -> request.target().equals("/held")));
        try (RawCaller caller = fixture.caller()) {
            caller.send(get("/desk/held", "h"));
            awaitRun("h");
            CompletableFuture<Integer> drained = fixture.server.drain(DRAIN_LIMIT);
            assertThat(drained.isDone()).isFalse();
            fixture.upstreams.forEach(u -> {
                while (u.runningRequests() > 0 && !drained.isDone()) {
                    u.releaseHeldResponses();
                    Thread.onSpinWait();
                }
            });
            assertThat(caller.read(false).text()).endsWith("GET /held\n");
            caller.disconnect();
            assertThat(drained.get(20, TimeUnit.SECONDS)).isZero();
        }
    }

    @Test
    void drainReportsUnfinishedRequestsAtLimit() throws Exception {
        fixture.upstreams.forEach(u -> u.holdResponses(request -> true));
        try (RawCaller caller = fixture.caller()) {
            caller.send(get("/desk/held", "h"));
            awaitRun("h");
            assertThat(fixture.server.drain(Duration.ofMillis(1)).get(20, TimeUnit.SECONDS))
                    .isEqualTo(1);
        }
    }

    private void awaitRun(String id) {
        while (fixture.runs(id) == 0) {
            Thread.onSpinWait();
        }
    }

    private void awaitInFlight(int count) {
        while (fixture.server.inFlight() < count) {
            Thread.onSpinWait();
        }
    }

    private static long countRemainingBytes(RawCaller caller) throws IOException {
        long count = 0;
        byte[] buffer = new byte[64 << 10];
        int read = caller.in().read(buffer);
        while (read > 0) {
            count += read;
            read = caller.in().read(buffer);
        }
        return count;
    }
}
