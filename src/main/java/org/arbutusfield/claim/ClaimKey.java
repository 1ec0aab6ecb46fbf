package org.arbutusfield.claim;

import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import org.arbutusfield.misc.Digests;

/**
 * An idempotency key of one service, hashed to 128 bits.
 *
 * @param high first 64 bits of the hash
 * @param low last 64 bits of the hash
 */
public record ClaimKey(long high, long low) {
    private static final int HEX_RADIX = 16;
    private static final int WORD_CHARS = 16;

    /** Returns the hash of a caller's idempotency key for a service. */
    public static ClaimKey of(String service, String key) {
        String digest = Digests.sha256((service + "\n" + key).getBytes(StandardCharsets.UTF_8));
        return new ClaimKey(parseWord(digest, 0), parseWord(digest, WORD_CHARS));
    }

    /** The shard that holds the key, from 0 to {@code shards - 1}. */
    public int shard(int shards) {
        return (int) Long.remainderUnsigned(high, shards);
    }

    private static long parseWord(String digest, int start) {
        return new BigInteger(digest.substring(start, start + WORD_CHARS), HEX_RADIX).longValue();
    }
}
