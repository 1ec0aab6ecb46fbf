package org.arbutusfield.proxy;

import static org.arbutusfield.proxy.ProxyFixture.get;
import static org.arbutusfield.proxy.ProxyFixture.post;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.arbutusfield.lab.Fault;
import org.arbutusfield.proxy.RawCaller.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Callers that send further requests before the first is answered. The response to a path with "held" is delayed. */
class PipeliningTest {
    private static final Duration STEP_LIMIT = Duration.ofSeconds(10);

    private final ProxyFixture fixture = ProxyFixture.of(1);

    PipeliningTest() {
        fixture.upstream().holdResponses(request -> request.target().contains("held"));
    }

    @AfterEach
    void close() {
        fixture.close();
    }

    private static void eventually(BooleanSupplier condition) {
        long end = System.nanoTime() + STEP_LIMIT.toNanos();
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("in time").isLessThan(end);
            Thread.onSpinWait();
        }
    }

    @Test
    void laterRequestsRunWhileTheFirstWaitsAndAreAnsweredInOrder() {
        try (RawCaller caller = fixture.caller()) {
            caller.send(get("/desk/held", "p1") + get("/desk/2", "p2") + get("/desk/3", "p3"));
            eventually(() -> fixture.runs("p2") == 1 && fixture.runs("p3") == 1);
            fixture.upstream().releaseHeldResponses();
            assertThat(caller.read(false).text()).endsWith("GET /held\n");
            assertThat(caller.read(false).text()).endsWith("GET /2\n");
            assertThat(caller.read(false).text()).endsWith("GET /3\n");
            assertThat(caller.call(get("/desk/4", "p4")).text()).endsWith("GET /4\n");
        }
        eventually(() -> fixture.permitsHeld.get() == 0);
    }

    /**
     * A request that may not run twice, or has a body, is not started before it is certain that it will be answered.
     */
    @ParameterizedTest
    @ValueSource(strings = {"/desk/book/2", "/desk/2"})
    void requestThatMayNotRepeatWaitsForTheEarlierResponse(String path) {
        try (RawCaller caller = fixture.caller()) {
            caller.send(get("/desk/held", "p1") + post(path, "p2", "two") + get("/desk/3", "p3"));
            eventually(() -> fixture.runs("p1") == 1);
            caller.send("");
            assertThat(fixture.runs("p2")).isZero();
            assertThat(fixture.runs("p3")).isZero();
            fixture.upstream().releaseHeldResponses();
            assertThat(caller.read(false).text()).endsWith("GET /held\n");
            assertThat(caller.read(false).text()).endsWith("\ntwo");
            assertThat(caller.read(false).text()).endsWith("GET /3\n");
        }
        assertThat(fixture.runs("p2")).isOne();
    }

    @Test
    void numberOfRequestsInProgressIsBoundedAndAllAreAnswered() {
        int count = 40;
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < count; i++) {
            requests.append(get("/desk/held/" + i, "p" + i));
        }
        try (RawCaller caller = fixture.caller()) {
            caller.send(requests.toString());
            eventually(() -> fixture.runs("p5") == 1);
            assertThat(fixture.runs("p6")).isZero();
            fixture.upstream().holdResponses(request -> false);
            fixture.upstream().releaseHeldResponses();
            for (int i = 0; i < count; i++) {
                assertThat(caller.read(false).text()).endsWith("GET /held/" + i + "\n");
            }
        }
        eventually(() -> fixture.permitsHeld.get() == 0);
    }

    /** Only a bounded part of a later response is held; the rest stays at its upstream until its turn. */
    @Test
    void largeLaterResponseArrivesWhole() {
        try (RawCaller caller = fixture.caller()) {
            caller.send(get("/desk/held", "p1") + get("/desk/blob/5000000", "p2") + get("/desk/3", "p3"));
            eventually(() -> fixture.runs("p3") == 1);
            fixture.upstream().releaseHeldResponses();
            assertThat(caller.read(false).text()).endsWith("GET /held\n");
            assertThat(caller.read(false).body()).isEqualTo(BlobContent.bytes("/blob/5000000", 5_000_000));
            assertThat(caller.read(false).text()).endsWith("GET /3\n");
        }
        eventually(() -> fixture.permitsHeld.get() == 0);
    }

    @Test
    void disconnectOfTheCallerCancelsAllRequests() {
        try (RawCaller caller = fixture.caller()) {
            caller.send(get("/desk/held/1", "p1") + get("/desk/held/2", "p2") + get("/desk/3", "p3"));
            eventually(() -> fixture.runs("p2") == 1 && fixture.runs("p3") == 1);
            eventually(() -> fixture.upstream().runningRequests() == 2);
            caller.disconnect();
            eventually(() -> fixture.permitsHeld.get() == 0 && fixture.server.inFlight() == 0);
        }
        eventually(() -> fixture.upstream().cancelled() == 2);
    }

    /** Requests that were received are all answered by a host that drains; the last response announces the close. */
    @Test
    void drainingHostAnswersEveryRequestThatItReceived() {
        try (RawCaller caller = fixture.caller()) {
            caller.send(get("/desk/held/1", "p1") + get("/desk/held/2", "p2") + get("/desk/3", "p3"));
            eventually(() -> fixture.runs("p2") == 1 && fixture.runs("p3") == 1);
            CompletableFuture<Integer> drained = fixture.server.drain(STEP_LIMIT);
            caller.send(get("/desk/4", "p4"));
            fixture.upstream().releaseHeldResponses();
            assertThat(caller.read(false).header("connection")).isNull();
            assertThat(caller.read(false).header("connection")).isNull();
            Response third = caller.read(false);
            assertThat(third.text()).endsWith("GET /3\n");
            boolean fourthNotReceived = "close".equals(third.header("connection"));
            if (!fourthNotReceived) {
                Response last = caller.read(false);
                assertThat(last.text()).endsWith("GET /4\n");
                assertThat(last.header("connection")).isEqualTo("close");
            }
            assertThat(fixture.runs("p4")).isEqualTo(fourthNotReceived ? 0 : 1);
            assertThat(caller.closedByPeer()).isTrue();
            caller.disconnect();
            assertThat(drained.join()).isZero();
        }
    }

    @Test
    void nothingIsRunBehindARequestThatClosesTheConnection() {
        try (RawCaller caller = fixture.caller()) {
            caller.send("GET /desk/held HTTP/1.1\r\nhost: x\r\nx-request-id: p1\r\nconnection: close\r\n\r\n"
                    + get("/desk/2", "p2"));
            eventually(() -> fixture.runs("p1") == 1);
            fixture.upstream().releaseHeldResponses();
            Response response = caller.read(false);
            assertThat(response.header("connection")).isEqualTo("close");
            assertThat(caller.closedByPeer()).isTrue();
        }
        assertThat(fixture.runs("p2")).isZero();
    }

    /** The later response breaks off while it is held; the earlier one must still arrive whole. */
    @ParameterizedTest
    @ValueSource(strings = {"RESET_BODY", "TRUNCATED_BODY"})
    void laterResponseThatBreaksOffDoesNotHarmTheEarlierOne(Fault fault) {
        fixture.upstream().injectFaults((request, number) -> request.target().contains("broken") ? fault : Fault.NONE);
        try (RawCaller caller = fixture.caller()) {
            caller.send(get("/desk/held", "p1") + get("/desk/broken", "p2"));
            eventually(() -> fixture.runs("p2") >= 1 && fixture.permitsHeld.get() == 1);
            fixture.upstream().releaseHeldResponses();
            assertThat(caller.read(false).text()).endsWith("GET /held\n");
            assertThat(caller.read(false).complete()).isFalse();
        }
        eventually(() -> fixture.permitsHeld.get() == 0);
    }
}
