package org.arbutusfield.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.proxy.RawCaller.Response;
import org.arbutusfield.route.Route;
import org.arbutusfield.route.WeightedService;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Requests on routes of the upload type, which are placed before their bodies are read. */
class UploadTest {
    private static final Route ROUTE = new Route(
            "r",
            "h",
            "/",
            false,
            false,
            Duration.ofSeconds(5),
            Duration.ofSeconds(1),
            2,
            2,
            Set.of(),
            false,
            List.of(new WeightedService("desk", 1)),
            false,
            true);

    private static ProxyComponents uploads(ProxyComponents all, Placement placement, ProxyLimits limits) {
        Router router = (request, id) -> all.router()
                .route(request, id)
                .map(match -> new RouteMatch(
                        match.service(), match.requestClass(), match.target(), match.path(), Optional.of(ROUTE)));
        return all.withRouter(router).withPlacement(placement).withLimits(limits);
    }

    private static String head(int length, String field) {
        return "POST /desk/book/1 HTTP/1.1\r\nhost: x\r\n" + field + "x-request-id: b\r\ncontent-length: " + length
                + "\r\n\r\n";
    }

    /** Guards against reading, or asking for, a body for which no upstream has room. */
    @ParameterizedTest
    @CsvSource({"10, ''", "300000, ''", "10, expect: 100-continue", "300000, expect: 100-continue"})
    @Timeout(20)
    void uploadWithoutRoomIsRefusedBeforeItsBodyIsRead(int length, String field) {
        Placement full = request -> {
            return CompletableFuture.completedFuture(
                    Either.left(Failure.of(ErrorCode.OVERLOADED).withRetryAfter(Duration.ofSeconds(2))));
        };
        try (ProxyFixture fixture = ProxyFixture.of(1, 64, all -> uploads(all, full, ProxyLimits.defaults()));
                RawCaller caller = fixture.caller()) {
            Response response = caller.call(head(length, field.isEmpty() ? "" : field + "\r\n"));
            assertThat(response.status()).isEqualTo(503);
            assertThat(response.statesNotRun()).isTrue();
            assertThat(response.header("retry-after")).isEqualTo("2");
        }
    }

    @Test
    @Timeout(20)
    void uploadWithRoomIsContinuedAndRuns() {
        try (ProxyFixture fixture =
                        ProxyFixture.of(1, 64, all -> uploads(all, all.placement(), ProxyLimits.defaults()));
                RawCaller caller = fixture.caller()) {
            assertThat(caller.call(head(200_000, "expect: 100-continue\r\n")).status())
                    .isEqualTo(100);
            assertThat(caller.call("x".repeat(200_000)).status()).isEqualTo(200);
            assertThat(fixture.runs("b")).isOne();
        }
    }

    /** Guards against uploads that start together and fill the buffers of the host when their bodies arrive. */
    @Test
    @Timeout(20)
    void uploadsReserveTheirBuffersBeforeTheirBodiesArrive() {
        Placement waiting = request -> new CompletableFuture<>();
        try (ProxyFixture fixture = ProxyFixture.of(
                        1, 64, all -> uploads(all, waiting, TestLimits.withReplayBytes(64 << 10, 128 << 10)));
                RawCaller first = fixture.caller();
                RawCaller second = fixture.caller();
                RawCaller third = fixture.caller()) {
            first.send(head(300_000, ""));
            second.send(head(300_000, ""));
            while (fixture.server.bufferedBytes() < 128 << 10) {
                Thread.onSpinWait();
            }
            Response refused = third.call(head(300_000, ""));
            assertThat(refused.status()).isEqualTo(503);
            assertThat(refused.code()).isEqualTo("OVERLOADED");
            assertThat(refused.statesNotRun()).isTrue();
            first.disconnect();
            second.disconnect();
            while (fixture.server.bufferedBytes() > 0) {
                Thread.onSpinWait();
            }
        }
    }
}
