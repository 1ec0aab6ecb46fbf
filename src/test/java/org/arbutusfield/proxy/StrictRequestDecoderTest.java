package org.arbutusfield.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import java.nio.charset.StandardCharsets;
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
        assertThatThrownBy(() -> channel.writeInbound(bytes(FOLDED))).isInstanceOf(DecoderException.class);
        for (int i = 0; i < 100; i++) {
            channel.writeInbound(bytes(FOLDED));
            assertThat(decoder.undecodedBytes()).isZero();
        }
        assertThat(channel.inboundMessages()).isEmpty();
        channel.finishAndReleaseAll();
    }
}
