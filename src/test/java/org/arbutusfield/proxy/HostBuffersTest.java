package org.arbutusfield.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.arbutusfield.proxy.RawCaller.Response;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What all callers of a host together can make it hold. */
class HostBuffersTest {
    private static final int CALLERS = 60;
    private static final int BODY_BYTES = 60_000;
    private static final long LIMIT_BYTES = 1L << 20;
    /** The part of a body that is over the limit, before its request is refused. */
    private static final long ONE_PART_BYTES = 128L << 10;

    private static ProxyLimits limits() {
        return TestLimits.withReplayBytes(ProxyLimits.defaults().replayBytes(), LIMIT_BYTES);
    }

    private static String unfinished(int id) {
        return "POST /desk/book/1 HTTP/1.1\r\nhost: x\r\nx-request-id: h" + id + "\r\ncontent-length: "
                + (BODY_BYTES + 1) + "\r\n\r\n" + "x".repeat(BODY_BYTES);
    }

    /**
     * Guards against callers whose bodies together fill the heap: each was let in while the buffers had room, and
     * nothing ended those that went on beyond the limit.
     */
    @Test
    @Timeout(30)
    void bodiesOfAllCallersTogetherStayWithinTheLimit() throws Exception {
        List<RawCaller> callers = new ArrayList<>();
        try (ProxyFixture fixture = ProxyFixture.of(1, 64, all -> all.withLimits(limits()))) {
            for (int i = 0; i < CALLERS; i++) {
                callers.add(fixture.caller());
            }
            for (int i = 0; i < CALLERS; i++) {
                callers.get(i).send(unfinished(i).substring(0, 200));
            }
            for (int i = 0; i < CALLERS; i++) {
                callers.get(i).send(unfinished(i).substring(200));
            }
            int refused = 0;
            while (refused < CALLERS - LIMIT_BYTES / BODY_BYTES) {
                RequestRecord record = fixture.nextRecord();
                assertThat(record).as("refused until now: %d", refused).isNotNull();
                assertThat(record.notRun()).isTrue();
                refused++;
            }
            assertThat(fixture.server.peakBufferedBytes()).isLessThan(LIMIT_BYTES + ONE_PART_BYTES);
            callers.get(0).send("x");
            Response first = callers.get(0).read(false);
            assertThat(first.status()).isIn(200, 503);
        } finally {
            callers.forEach(RawCaller::close);
        }
    }

    private static String withLargeHead(int id) {
        String field = "x-field-%d: " + "x".repeat(1_000) + "\r\n";
        StringBuilder fields = new StringBuilder();
        for (int i = 0; i < 10; i++) {
            fields.append(field.formatted(i));
        }
        return "GET /desk/x HTTP/1.1\r\nhost: x\r\nx-request-id: l" + id + "\r\n" + fields + "\r\n";
    }

    /** Guards against callers whose heads together fill the heap while their requests wait for an upstream. */
    @Test
    @Timeout(30)
    void headsOfAllCallersTogetherStayWithinTheLimit() throws Exception {
        List<RawCaller> callers = new ArrayList<>();
        try (ProxyFixture fixture = ProxyFixture.of(1, 64, all -> all.withLimits(limits()))) {
            fixture.upstream().holdResponses(request -> true);
            for (int i = 0; i < CALLERS; i++) {
                callers.add(fixture.caller().send(withLargeHead(i)));
            }
            for (int refused = 0; refused < CALLERS - LIMIT_BYTES / 4 / 10_000; refused++) {
                RequestRecord record = fixture.nextRecord();
                assertThat(record).as("refused until now: %d", refused).isNotNull();
                assertThat(record.notRun()).isTrue();
            }
            assertThat(fixture.server.bufferedBytes()).isLessThan(LIMIT_BYTES / 4);
            fixture.upstream().releaseHeldResponses();
            while (fixture.server.inFlight() > 0) {
                Thread.onSpinWait();
            }
            assertThat(fixture.server.bufferedBytes()).isZero();
        } finally {
            callers.forEach(RawCaller::close);
        }
    }
}
