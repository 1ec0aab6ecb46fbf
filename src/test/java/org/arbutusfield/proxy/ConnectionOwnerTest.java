package org.arbutusfield.proxy;

import static org.arbutusfield.proxy.ProxyFixture.get;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.arbutusfield.proxy.ScriptedUpstream.Reply;
import org.junit.jupiter.api.Test;

/** A connection to an upstream belongs to one request at a time, and no other can end it. */
class ConnectionOwnerTest {
    private static final String SUCCESS = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-request-id: %s\r\n\r\nok";
    /** More than the host has event loops, so that some share the leaving caller's. */
    private static final int OTHER_CALLERS = 6;

    /**
     * Guards against a caller that leaves while its answer waits behind an earlier one, and takes another caller's
     * answer with it: the connection that its answer came on is in use again.
     */
    @Test
    void callerThatLeavesEndsItsOwnRequestsAlone() throws InterruptedException {
        CountDownLatch left = new CountDownLatch(1);
        CountDownLatch asked = new CountDownLatch(1);
        CountDownLatch othersRead = new CountDownLatch(OTHER_CALLERS);
        Set<String> onKeptConnection = ConcurrentHashMap.newKeySet();
        ScriptedUpstream.Script script = (number, id) -> {
            if (id.equals("second")) {
                asked.countDown();
                return Reply.keep(SUCCESS.formatted(id));
            }
            if (number > 1) {
                onKeptConnection.add(id);
            }
            if (id.startsWith("other")) {
                othersRead.countDown();
            }
            await(left);
            return Reply.keep(SUCCESS.formatted(id));
        };
        try (ScriptedUpstream upstream = ScriptedUpstream.start(script);
                ProxyFixture fixture = upstream.fixture();
                RawCaller leaving = fixture.caller()) {
            leaving.send(get("/desk/quote/1", "first") + get("/desk/quote/2", "second"));
            await(asked);
            // Until the host has read the answer, and its connection can be reused.
            while (fixture.server.idleUpstreamConnections() == 0) {
                Thread.onSpinWait();
            }
            List<RawCaller> others = new ArrayList<>();
            for (int i = 0; i < OTHER_CALLERS; i++) {
                RawCaller other = fixture.caller();
                others.add(other.send(get("/desk/quote/3", "other" + i)));
            }
            await(othersRead);
            assertThat(onKeptConnection).isNotEmpty();
            leaving.reset();
            assertThat(fixture.nextRecord().outcome()).isEqualTo(RequestRecord.Result.CALLER_GONE);
            assertThat(fixture.nextRecord().outcome()).isEqualTo(RequestRecord.Result.CALLER_GONE);
            left.countDown();
            for (RawCaller other : others) {
                assertThat(other.read(false).status()).isEqualTo(200);
                other.close();
            }
            assertThat(upstream.requests()).isEqualTo(2 + OTHER_CALLERS);
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            assertThat(latch.await(20, TimeUnit.SECONDS)).isTrue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
