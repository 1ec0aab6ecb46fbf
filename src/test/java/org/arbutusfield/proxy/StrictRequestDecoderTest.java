package org.arbutusfield.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What the decoder of requests keeps of what it rejects. */
class StrictRequestDecoderTest {
    private static final int MAX_HEAD_BYTES = 16 << 10;
    private static final String FOLDED = " folded: x\r\n".repeat(1_000);

    private final StrictRequestDecoder decoder = StrictRequestDecoder.create(MAX_HEAD_BYTES, () -> {});
    private final EmbeddedChannel channel = new EmbeddedChannel(decoder);

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    /**
     * Guards against bytes without end behind a rejected head, which were kept while an earlier request was in
     * progress.
     */
    @Test
    void bytesAfterARejectedHeadAreNotKept() {
        channel.writeInbound(bytes(FOLDED));
        HttpRequest rejected = channel.readInbound();
        assertThat(rejected.decoderResult().cause()).isInstanceOf(DecoderException.class);
        ReferenceCountUtil.release(rejected);
        for (int i = 0; i < 100; i++) {
            channel.writeInbound(bytes(FOLDED));
            assertThat(decoder.undecodedBytes()).isZero();
        }
        assertThat(channel.inboundMessages()).isEmpty();
        channel.finishAndReleaseAll();
    }

    /**
     * Guards against eight bytes behind a request that are taken for its body, by an early draft of web sockets, so
     * that the next request begins in the midst of another.
     */
    @Test
    void requestWithoutALengthHasNoBody() {
        String fields = "host: x\r\nsec-websocket-key1: a\r\nsec-websocket-key2: b\r\n\r\n";
        channel.writeInbound(bytes("GET /1 HTTP/1.1\r\n" + fields + "GET /2 HTTP/1.1\r\n" + fields));
        // One part of a message is decoded each time.
        while (decoder.undecodedBytes() > 0) {
            channel.writeInbound(Unpooled.EMPTY_BUFFER);
        }
        List<String> targets = channel.inboundMessages().stream()
                .filter(HttpRequest.class::isInstance)
                .map(message -> ((HttpRequest) message).uri())
                .toList();
        assertThat(targets).containsExactly("/1", "/2");
        channel.finishAndReleaseAll();
    }
}
