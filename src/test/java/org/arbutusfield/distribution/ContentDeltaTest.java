package org.arbutusfield.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.arbutusfield.error.ErrorCode;
import org.junit.jupiter.api.Test;

class ContentDeltaTest {
    @Property(tries = 400, seed = "20261203")
    void appliedDeltaGivesTarget(
            @ForAll long seed, @ForAll @IntRange(max = 2000) int length, @ForAll @IntRange(max = 6) int edits) {
        SplittableRandom random = new SplittableRandom(seed);
        byte[] base = randomText(random, length);
        byte[] target = base;
        for (int i = 0; i < edits; i++) {
            target = withRandomEdit(random, target);
        }
        assertThat(ContentDelta.apply(base, ContentDelta.encode(base, target)).get())
                .isEqualTo(target);
    }

    @Property(tries = 400, seed = "20261204")
    void arbitraryBytesGiveContentOrPeerProtocolFailure(@ForAll @Size(max = 64) byte[] delta) {
        byte[] bounded = delta.clone();
        if (bounded.length > 2) {
            bounded[0] = 0;
            bounded[1] = 0;
        }
        ContentDelta.apply(new byte[100], bounded)
                .peekLeft(failure -> assertThat(failure.code()).isEqualTo(ErrorCode.PEER_PROTOCOL));
    }

    @Test
    void oversizedLengthIsRejectedBeforeAllocation() {
        byte[] oversized = ByteBuffer.allocate(4).putInt(Integer.MAX_VALUE).array();
        assertThat(ContentDelta.apply(new byte[0], oversized).getLeft().code()).isEqualTo(ErrorCode.PEER_PROTOCOL);
    }

    @Test
    void scatteredEditsGiveSmallDelta() {
        SplittableRandom random = new SplittableRandom(7);
        byte[] base = randomText(random, 1_000_000);
        byte[] target = Arrays.copyOf(base, base.length);
        for (int i = 0; i < 10; i++) {
            target[i * 100_000 + 10] ^= 0x55;
        }
        assertThat(ContentDelta.encode(base, target)).hasSizeLessThan(2_000);
    }

    private static byte[] randomText(SplittableRandom random, int length) {
        byte[] randomText = new byte[length];
        for (int i = 0; i < length; i++) {
            randomText[i] = (byte) ('a' + random.nextInt(26));
        }
        return randomText;
    }

    private static byte[] withRandomEdit(SplittableRandom random, byte[] from) {
        int position = random.nextInt(from.length + 1);
        int removed = random.nextInt(Math.min(50, from.length - position) + 1);
        byte[] added = randomText(random, random.nextInt(50));
        return ByteBuffer.allocate(from.length - removed + added.length)
                .put(from, 0, position)
                .put(added)
                .put(from, position + removed, from.length - position - removed)
                .array();
    }
}
