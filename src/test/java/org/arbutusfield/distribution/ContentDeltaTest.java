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
    void applyingTheDeltaGivesTheTarget(
            @ForAll long seed, @ForAll @IntRange(max = 2000) int length, @ForAll @IntRange(max = 6) int edits) {
        SplittableRandom random = new SplittableRandom(seed);
        byte[] base = text(random, length);
        byte[] target = base;
        for (int i = 0; i < edits; i++) {
            target = edited(random, target);
        }
        assertThat(ContentDelta.apply(base, ContentDelta.encode(base, target)).get())
                .isEqualTo(target);
    }

    @Property(tries = 400, seed = "20261204")
    void anyBytesAsADeltaEndInAContentOrATypedFailure(@ForAll @Size(max = 64) byte[] delta) {
        byte[] bounded = delta.clone();
        if (bounded.length > 2) {
            bounded[0] = 0;
            bounded[1] = 0;
        }
        ContentDelta.apply(new byte[100], bounded)
                .peekLeft(failure -> assertThat(failure.code()).isEqualTo(ErrorCode.PEER_PROTOCOL));
    }

    @Test
    void aDeltaThatClaimsMoreThanTheLimitIsRefusedBeforeAllocating() {
        byte[] hostile = ByteBuffer.allocate(4).putInt(Integer.MAX_VALUE).array();
        assertThat(ContentDelta.apply(new byte[0], hostile).getLeft().code()).isEqualTo(ErrorCode.PEER_PROTOCOL);
    }

    @Test
    void scatteredEditsCostLittle() {
        SplittableRandom random = new SplittableRandom(7);
        byte[] base = text(random, 1_000_000);
        byte[] target = Arrays.copyOf(base, base.length);
        for (int i = 0; i < 10; i++) {
            target[i * 100_000 + 10] ^= 0x55;
        }
        assertThat(ContentDelta.encode(base, target)).hasSizeLessThan(2_000);
    }

    private static byte[] text(SplittableRandom random, int length) {
        byte[] text = new byte[length];
        for (int i = 0; i < length; i++) {
            text[i] = (byte) ('a' + random.nextInt(26));
        }
        return text;
    }

    private static byte[] edited(SplittableRandom random, byte[] from) {
        int cut = random.nextInt(from.length + 1);
        int removed = random.nextInt(Math.min(50, from.length - cut) + 1);
        byte[] added = text(random, random.nextInt(50));
        return ByteBuffer.allocate(from.length - removed + added.length)
                .put(from, 0, cut)
                .put(added)
                .put(from, cut + removed, from.length - cut - removed)
                .array();
    }
}
