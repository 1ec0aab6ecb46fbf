package org.arbutusfield.model;

import org.arbutusfield.lookup.Ipv4Block;

/** Encodes client prefixes as numbers that sort by first address, then by prefix length, shorter prefixes first. */
final class PrefixKey {
    private static final int LENGTH_BITS = 6;
    private static final int LENGTH_MASK = (1 << LENGTH_BITS) - 1;

    private PrefixKey() {}

    /** Returns the key of a canonical prefix in CIDR notation. */
    static long of(String prefix) {
        Ipv4Block block = Ipv4Block.parse(prefix)
                .getOrElseThrow(() -> new IllegalArgumentException("not a canonical IPv4 prefix: " + prefix));
        return of(block.base(), block.length());
    }

    /** Returns the key of a prefix given by its first address and its length in bits. */
    static long of(int prefixBits, int length) {
        return Integer.toUnsignedLong(prefixBits) << LENGTH_BITS | length;
    }

    /** First address of the prefix. */
    static int prefixBits(long key) {
        return (int) (key >>> LENGTH_BITS);
    }

    /** Prefix length in bits. */
    static int length(long key) {
        return (int) key & LENGTH_MASK;
    }

    /** The prefix in CIDR notation. */
    static String notation(long key) {
        return new Ipv4Block(prefixBits(key), length(key)).notation();
    }

    /**
     * Returns a hash of the key by the 64-bit finalizer of MurmurHash3. Segment boundaries depend on it, so it must be
     * the same on every host.
     */
    static long hash(long key) {
        long mixed = (key ^ (key >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }
}
