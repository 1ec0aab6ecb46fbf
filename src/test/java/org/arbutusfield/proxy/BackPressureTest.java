package org.arbutusfield.proxy;

import static org.arbutusfield.proxy.ProxyFixture.get;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.proxy.RawCaller.Answer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Fast senders wait for slow receivers; what is held in between is bounded. */
class BackPressureTest {
    private static final int LARGE = 50_000_000;
    private static final long BOUND_BYTES = 512 << 10;

    private final ProxyFixture bench = ProxyFixture.of(1);

    @AfterEach
    void stop() {
        bench.close();
    }

    @Test
    void aSlowReaderHoldsLittle() throws IOException {
        try (RawCaller caller = RawCaller.connect(bench.entry.address(), 8 << 10)) {
            caller.send(get("/desk/blob/" + LARGE, "d"));
            InputStream in = caller.in();
            byte[] head = in.readNBytes(400);
            int end = new String(head, StandardCharsets.ISO_8859_1).indexOf("\r\n\r\n") + 4;
            int seed = ("/blob/" + LARGE).hashCode();
            long position = 0;
            for (int i = end; i < head.length; i++) {
                assertThat(head[i]).isEqualTo(BlobContent.byteAt(seed, position++));
            }
            byte[] buffer = new byte[16 << 10];
            while (position < LARGE) {
                int got = in.read(buffer);
                for (int i = 0; i < got; i++) {
                    if (buffer[i] != BlobContent.byteAt(seed, position++)) {
                        throw new AssertionError("wrong byte at " + (position - 1));
                    }
                }
            }
        }
        assertThat(bench.entry.peakBufferedBytes()).isPositive().isLessThan(BOUND_BYTES);
    }

    @Test
    void aSlowUpstreamHoldsLittle() {
        bench.upstream().readPause(Duration.ofMillis(1));
        try (RawCaller caller = bench.caller()) {
            CompletableFuture<RawCaller> sending = CompletableFuture.supplyAsync(
                    () -> caller.send("POST /desk/up HTTP/1.1\r\nhost: x\r\ncontent-length: " + LARGE + "\r\n\r\n")
                            .send(new byte[LARGE]));
            Answer answer = caller.read(false);
            sending.join();
            assertThat(answer.status()).isEqualTo(200);
        }
        assertThat(bench.entry.peakBufferedBytes()).isPositive().isLessThan(BOUND_BYTES);
    }
}
