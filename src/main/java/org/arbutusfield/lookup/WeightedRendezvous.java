package org.arbutusfield.lookup;

import java.nio.charset.StandardCharsets;

/**
 * Weighted rendezvous hashing: every process that knows the same names computes the same order, and adding or removing
 * a name moves only that name's share of the keys.
 */
public final class WeightedRendezvous {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final double MANTISSA_UNIT = 0x1.0p-53;

    private WeightedRendezvous() {}

    /** A 64-bit hash of a name, equal on every host. */
    public static long hash(String name) {
        long hash = FNV_OFFSET;
        for (byte b : name.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (b & 0xFF)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /** Mixes all bits of a 64-bit value. */
    public static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }

    /**
     * Score of a name for a key; the name with the highest score comes first.
     *
     * @param nameHash {@link #hash} of the name
     * @param keyHash hash of the key
     * @param weight relative share of keys, above zero
     */
    public static double score(long nameHash, long keyHash, double weight) {
        double uniform = ((mix(nameHash ^ mix(keyHash)) >>> 11) + 0.5) * MANTISSA_UNIT;
        return -weight / Math.log(uniform);
    }
}
