package org.arbutusfield.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The memory that waiting parts of responses hold. */
class BufferCompactionTest {
    private static final int READ_BYTES = 64 << 10;

    private final PooledByteBufAllocator allocator = new PooledByteBufAllocator(true);

    private ByteBuf slice(int bytes) {
        ByteBuf read = allocator.directBuffer(READ_BYTES, READ_BYTES);
        read.writeCharSequence("x".repeat(READ_BYTES), StandardCharsets.US_ASCII);
        ByteBuf slice = read.readRetainedSlice(bytes);
        read.release();
        return slice;
    }

    /** Guards against slow readers that use up a host's memory: a short part kept the whole buffer it was read into. */
    @ParameterizedTest
    @CsvSource({"1, 1024", "100, 102400", "2500, 102400", "30000, 65536"})
    void waitingPartsHoldLittleMoreThanTheirBytes(int bytes, int totalBytes) {
        int parts = totalBytes / bytes;
        List<ByteBuf> waiting = new ArrayList<>();
        for (int i = 0; i < parts; i++) {
            ByteBuf kept = BufferCompaction.compact(slice(bytes));
            assertThat(kept.readableBytes()).isEqualTo(bytes);
            assertThat(kept.toString(StandardCharsets.US_ASCII)).isEqualTo("x".repeat(bytes));
            waiting.add(kept);
        }
        // The allocator rounds each buffer up to its size class, of 16 bytes at least.
        long roundedUp = parts * (16L + bytes * 2L);
        assertThat(allocator.pinnedDirectMemory()).isLessThanOrEqualTo(roundedUp);
        waiting.forEach(ByteBuf::release);
        assertThat(allocator.pinnedDirectMemory()).isZero();
    }

    @Test
    void longPartIsNotCopied() {
        ByteBuf part = slice(READ_BYTES / 2);
        assertThat(BufferCompaction.compact(part)).isSameAs(part);
        part.release();
    }

    /** The last part keeps its trailing fields. */
    @Test
    void replacedContentKeepsItsTrailers() {
        DefaultLastHttpContent last = new DefaultLastHttpContent(slice(10));
        last.trailingHeaders().set("a", "b");
        HttpContent replaced = last.replace(BufferCompaction.compact(last.content()));
        assertThat(((DefaultLastHttpContent) replaced).trailingHeaders().get("a"))
                .isEqualTo("b");
        assertThat(replaced.content().readableBytes()).isEqualTo(10);
        assertThat(last.content().refCnt()).isZero();
        replaced.release();
    }
}
