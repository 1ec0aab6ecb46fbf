package org.arbutusfield.proxy;

import static org.arbutusfield.proxy.ProxyFixture.get;
import static org.arbutusfield.proxy.ProxyFixture.post;
import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.stream.Stream;
import org.arbutusfield.error.Failure;
import org.arbutusfield.lab.UpstreamStandIn;
import org.arbutusfield.proxy.RawCaller.Response;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests that are cut without an answer at the end of a planned stop: each request that a host has
 * received as a whole is answered before the host ends.
 */
@Timeout(60)
class StopAnswersTest {
    /** Shorter than the deadline of a request, which is 5 s. */
    private static final Duration SHORT_STOP = Duration.ofMillis(300);
    /** Shorter than the deadline as well, and longer than any of these tests runs. */
    private static final Duration LONG_STOP = Duration.ofMillis(4_900);
    /** Longer than the deadline. */
    private static final Duration STOP_BEYOND_DEADLINE = Duration.ofSeconds(30);

    private static void assertRefusedNotRun(Response response) {
        assertThat(response.complete()).isTrue();
        assertThat(response.status()).isEqualTo(503);
        assertThat(response.code()).isEqualTo("HOST_LEAVING");
        assertThat(response.statesNotRun()).isTrue();
        assertThat(response.header("retry-after")).isNotNull();
    }

    /** Stops a host as its process does; the future completes when the host has ended. */
    private static CompletableFuture<Integer> stop(ProxyFixture fixture, Duration limit) {
        fixture.server.leave(limit);
        return fixture.server.drain(limit).thenApply(unfinished -> {
            fixture.server.close();
            return unfinished;
        });
    }

    private static void awaitInFlight(ProxyFixture fixture, int count) {
        while (fixture.server.inFlight() != count) {
            Thread.onSpinWait();
        }
    }

    private static void awaitRun(ProxyFixture fixture, String id) {
        while (fixture.runs(id) == 0) {
            Thread.onSpinWait();
        }
    }

    /** Guards against a request that its upstream still runs at the end, and whose caller is told nothing. */
    @Test
    void requestWithoutAResponseIsAnsweredBeforeTheHostEnds() {
        try (ProxyFixture fixture = ProxyFixture.of(1);
                RawCaller caller = fixture.caller()) {
            fixture.upstream().holdResponses(request -> true);
            caller.send(post("/desk/book", "b", "hall"));
            awaitRun(fixture, "b");
            CompletableFuture<Integer> ended = stop(fixture, SHORT_STOP);
            Response response = caller.read(false);
            assertThat(response.complete()).isTrue();
            assertThat(response.status()).isEqualTo(504);
            assertThat(response.statesUnknown()).isTrue();
            assertThat(ended.join()).isEqualTo(1);
            assertThat(fixture.runs("b")).isEqualTo(1);
        }
    }

    /** Guards against a cut of a request that was never sent, though a refusal would be true. */
    @Test
    void requestThatWaitsForAPlacementIsRefusedNotRun() {
        BlockingQueue<CompletableFuture<Either<Failure, PlacementTarget>>> queued = new LinkedBlockingQueue<>();
        Placement neverPlaces = request -> {
            CompletableFuture<Either<Failure, PlacementTarget>> future = new CompletableFuture<>();
            queued.add(future);
            return future;
        };
        try (ProxyFixture fixture = ProxyFixture.of(1, 9, components -> components.withPlacement(neverPlaces));
                RawCaller caller = fixture.caller()) {
            caller.send(post("/desk/book", "b", "hall"));
            CompletableFuture<Either<Failure, PlacementTarget>> waiting = take(queued);
            stop(fixture, SHORT_STOP);
            assertRefusedNotRun(caller.read(false));
            assertThat(waiting.isCancelled()).isTrue();
        }
    }

    /** Guards against sending a request whose response, for all that is known, comes after the end of the host. */
    @Test
    void requestThatMayOutlastTheHostIsRefusedAtOnce() {
        try (ProxyFixture fixture = ProxyFixture.of(1);
                RawCaller caller = fixture.caller()) {
            fixture.server.leave(LONG_STOP);
            assertRefusedNotRun(caller.call(post("/desk/book", "b", "hall")));
            assertThat(fixture.runs("b")).isZero();
        }
    }

    /** The other side: a stop is no reason to refuse what is served in time. */
    @Test
    void requestOfAClassWithQuickResponsesIsServedWhileTheHostStops() {
        try (ProxyFixture fixture = ProxyFixture.of(1);
                RawCaller caller = fixture.caller();
                RawCaller other = fixture.caller()) {
            assertThat(caller.call(post("/desk/book", "before", "hall")).status())
                    .isEqualTo(200);
            fixture.server.leave(LONG_STOP);
            assertThat(caller.call(post("/desk/book", "b", "hall")).status()).isEqualTo(200);
            assertThat(other.call(get("/desk/x", "other")).status()).isEqualTo(503);
        }
    }

    /**
     * Guards against giving up a response early, to leave time for a retry that a host which stops doesn't make: its
     * upstream is still at work, on a connection that was used before.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void responseOnAReusedConnectionIsAwaitedUntilTheHostEnds(boolean sentBeforeTheStop) {
        try (ProxyFixture fixture = ProxyFixture.of(1);
                RawCaller caller = fixture.caller()) {
            assertThat(caller.call(get("/desk/x", "before")).status()).isEqualTo(200);
            fixture.upstream().holdResponses(request -> true);
            if (!sentBeforeTheStop) {
                fixture.server.leave(LONG_STOP);
            }
            caller.send(get("/desk/x", "g"));
            awaitRun(fixture, "g");
            if (sentBeforeTheStop) {
                fixture.server.leave(LONG_STOP);
            }
            Response response = caller.read(false);
            assertThat(response.code()).isEqualTo("UPSTREAM_TIMEOUT");
            assertThat(response.statesUnknown()).isTrue();
            assertThat(fixture.runs("g")).isEqualTo(1);
        }
    }

    /** Guards against a body that arrives so slowly that its request is sent too late. */
    @Test
    void requestWhoseBodyArrivesTooLateIsRefusedNotRun() {
        try (ProxyFixture fixture = ProxyFixture.of(1);
                RawCaller caller = fixture.caller()) {
            assertThat(caller.call(post("/desk/book", "before", "hall")).status())
                    .isEqualTo(200);
            awaitInFlight(fixture, 0);
            caller.send("POST /desk/book HTTP/1.1\r\nhost: x\r\nx-request-id: b\r\ncontent-length: 10\r\n\r\nhalf");
            awaitInFlight(fixture, 1);
            stop(fixture, SHORT_STOP);
            assertRefusedNotRun(caller.read(false));
            assertThat(fixture.runs("b")).isZero();
        }
    }

    /**
     * Guards against requests that are dropped because the response before them announced the end of the connection.
     */
    @Test
    void requestsThatWaitBehindAnotherAreAnswered() {
        try (ProxyFixture fixture = ProxyFixture.of(1);
                RawCaller caller = fixture.caller()) {
            UpstreamStandIn upstream = fixture.upstream();
            upstream.holdResponses(request -> true);
            caller.send(post("/desk/book", "1", "hall") + post("/desk/book", "2", "hall") + get("/desk/x", "3"));
            awaitRun(fixture, "1");
            fixture.server.leave(STOP_BEYOND_DEADLINE);
            CompletableFuture<Integer> drained = fixture.server.drain(STOP_BEYOND_DEADLINE);
            upstream.holdResponses(request -> false);
            upstream.releaseHeldResponses();
            Response first = caller.read(false);
            Response second = caller.read(false);
            Response third = caller.read(false);
            assertThat(Stream.of(first, second, third).map(Response::status)).containsExactly(200, 200, 200);
            assertThat(first.header("connection")).isNull();
            assertThat(third.header("connection")).isEqualTo("close");
            caller.disconnect();
            assertThat(drained.join()).isZero();
        }
    }

    /** The same at the end of the host: what waits behind a request without a response is refused, not dropped. */
    @Test
    void requestsThatWaitBehindAnUnansweredOneAreRefusedNotRun() {
        try (ProxyFixture fixture = ProxyFixture.of(1);
                RawCaller caller = fixture.caller()) {
            fixture.upstream().holdResponses(request -> true);
            caller.send(post("/desk/book", "1", "hall") + post("/desk/book", "2", "hall") + get("/desk/x", "3"));
            awaitRun(fixture, "1");
            stop(fixture, SHORT_STOP);
            assertThat(caller.read(false).status()).isEqualTo(504);
            assertRefusedNotRun(caller.read(false));
            assertRefusedNotRun(caller.read(false));
            assertThat(fixture.runs("2") + fixture.runs("3")).isZero();
        }
    }

    private static <T> T take(BlockingQueue<T> queue) {
        try {
            return queue.take();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
