package org.arbutusfield.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.model.Upstream;
import org.arbutusfield.proxy.RawCaller.Response;
import org.arbutusfield.proxy.ScriptedUpstream.Reply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Requests of which no byte reached an upstream, or which the upstream stated it did not run: the answer must state
 * this, so that callers of requests that aren't repeatable send them again.
 */
class NotRunAnswersTest {
    private static final int LARGE = 100_000;
    private static final String REFUSAL =
            "HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";

    private static String largePost(long deadlineMillis) {
        return "POST /desk/book/1 HTTP/1.1\r\nhost: x\r\nx-request-id: b\r\ncontent-length: " + LARGE
                + "\r\nx-request-deadline-ms: " + deadlineMillis + "\r\n\r\n";
    }

    private static void assertNotRun(Response response, String code) {
        assertThat(response.status()).isEqualTo(503);
        assertThat(response.code()).isEqualTo(code);
        assertThat(response.statesNotRun()).isTrue();
        assertThat(response.header("x-not-run")).isEqualTo("true");
        assertThat(response.header("retry-after")).isNotNull();
    }

    /**
     * Guards against an unknown outcome for a streamed request whose connection was lost while the host waited for the
     * first byte of the body: the head is sent only together with it.
     */
    @Test
    @Timeout(20)
    void connectionLostBeforeTheFirstByteOfAStreamedBody() throws IOException {
        try (ServerSocket socket = new ServerSocket();
                ProxyFixture fixture = ProxyFixture.of(0, 0, all -> all.withPlacement(onceAt(socket)));
                RawCaller caller = fixture.caller()) {
            String head = largePost(5_000).replace("host: x", "host: x\r\nexpect: 100-continue");
            assertThat(caller.call(head).status()).isEqualTo(100);
            socket.accept().close();
            assertNotRun(caller.read(false), "UPSTREAM_CONNECT");
        }
    }

    private static Placement onceAt(ServerSocket socket) {
        try {
            socket.bind(ProxyFixture.ANY_PORT);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Upstream upstream = new Upstream("u", "desk", "gulf-a", "127.0.0.1", socket.getLocalPort(), 64, 64);
        return request -> CompletableFuture.completedFuture(
                request.tried().isEmpty()
                        ? Either.right(new PlacementTarget.UpstreamTarget(upstream, Permit.NONE))
                        : Either.left(Failure.of(ErrorCode.NO_UPSTREAM)));
    }

    /** Guards against 504 for a streamed request of which the caller sent no byte of the body until its deadline. */
    @Test
    @Timeout(20)
    void deadlineBeforeTheFirstByteOfAStreamedBody() {
        CountDownLatch done = new CountDownLatch(1);
        try (ScriptedUpstream upstream = ScriptedUpstream.neverReadingBodies(done);
                ProxyFixture fixture = upstream.fixture();
                RawCaller caller = fixture.caller()) {
            assertNotRun(caller.call(largePost(300)), "DEADLINE_PASSED");
            assertThat(upstream.requests()).isZero();
            done.countDown();
        }
    }

    /** A request of which a byte was sent stays unknown. */
    @Test
    @Timeout(20)
    void deadlineAfterTheFirstByteOfAStreamedBodyIsUnknown() {
        CountDownLatch done = new CountDownLatch(1);
        try (ScriptedUpstream upstream = ScriptedUpstream.neverReadingBodies(done);
                ProxyFixture fixture = upstream.fixture();
                RawCaller caller = fixture.caller()) {
            Response response = caller.call(largePost(300) + "x");
            assertThat(response.code()).isEqualTo("UPSTREAM_TIMEOUT");
            assertThat(response.statesUnknown()).isTrue();
            done.countDown();
        }
    }

    /**
     * Guards against a lost statement: an upstream that refuses a request by its head and closes the connection resets
     * it, since the body is unread. A write of the body then fails while the statement is waiting to be read.
     */
    @Test
    @Timeout(60)
    void refusalBeforeTheBodyWasReadIsPassedOn() {
        for (int round = 0; round < 200; round++) {
            try (ScriptedUpstream upstream = ScriptedUpstream.answeringHeads((number, id) -> Reply.thenClose(REFUSAL));
                    ProxyFixture fixture = upstream.fixture();
                    RawCaller caller = fixture.caller()) {
                sendIgnoringResets(caller, largePost(5_000) + "x".repeat(LARGE));
                assertNotRun(caller.read(false), "UPSTREAM_SHED");
            }
        }
    }

    /** Guards against a 503 that doesn't say when to retry because it was decided before the request was routed. */
    @Test
    void refusalBeforeRoutingSaysWhenToRetry() {
        try (ProxyFixture fixture = ProxyFixture.of(0, 0, NotRunAnswersTest::withoutConfiguration);
                RawCaller caller = fixture.caller()) {
            assertNotRun(caller.call(ProxyFixture.get("/desk/x", "r")), "NO_CONFIGURATION");
        }
    }

    private static ProxyComponents withoutConfiguration(ProxyComponents all) {
        return all.withRouter((request, id) -> Either.left(Failure.of(ErrorCode.NO_CONFIGURATION)));
    }

    private static void sendIgnoringResets(RawCaller caller, String text) {
        try {
            caller.send(text);
        } catch (UncheckedIOException e) {
            // The host answers before it has read the whole body.
            assertThat(e).isNotNull();
        }
    }
}
