package org.arbutusfield.proxy;

import static org.arbutusfield.proxy.ProxyFixture.get;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.proxy.RawCaller.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A fast sender has to wait for a slow receiver; the bytes buffered in between are bounded. */
class BackPressureTest {
    private static final int LARGE_BYTES = 50_000_000;
    private static final long MAX_BUFFERED_BYTES = 512 << 10;

    private final ProxyFixture fixture = ProxyFixture.of(1);

    @AfterEach
    void stop() {
        fixture.close();
    }

    @Test
    void slowCallerDoesNotGrowBuffers() throws IOException {
        try (RawCaller caller = RawCaller.connect(fixture.server.address(), 8 << 10)) {
            caller.send(get("/desk/blob/" + LARGE_BYTES, "d"));
            InputStream in = caller.in();
            byte[] head = in.readNBytes(400);
            int end = new String(head, StandardCharsets.ISO_8859_1).indexOf("\r\n\r\n") + 4;
            int seed = ("/blob/" + LARGE_BYTES).hashCode();
            long position = 0;
            for (int i = end; i < head.length; i++) {
                assertThat(head[i]).isEqualTo(BlobContent.byteAt(seed, position++));
            }
            byte[] buffer = new byte[16 << 10];
            while (position < LARGE_BYTES) {
                int read = in.read(buffer);
                for (int i = 0; i < read; i++) {
                    if (buffer[i] != BlobContent.byteAt(seed, position++)) {
                        throw new AssertionError("wrong byte at " + (position - 1));
                    }
                }
            }
        }
        assertThat(fixture.server.peakBufferedBytes()).isPositive().isLessThan(MAX_BUFFERED_BYTES);
    }

    @Test
    void slowUpstreamDoesNotGrowBuffers() {
        fixture.upstream().readPause(Duration.ofMillis(1));
        try (RawCaller caller = fixture.caller()) {
            CompletableFuture<RawCaller> sending = CompletableFuture.supplyAsync(() -> caller.send(
                            "POST /desk/up HTTP/1.1\r\nhost: x\r\ncontent-length: " + LARGE_BYTES + "\r\n\r\n")
                    .send(new byte[LARGE_BYTES]));
            Response response = caller.read(false);
            sending.join();
            assertThat(response.status()).isEqualTo(200);
        }
        assertThat(fixture.server.peakBufferedBytes()).isPositive().isLessThan(MAX_BUFFERED_BYTES);
    }
}
