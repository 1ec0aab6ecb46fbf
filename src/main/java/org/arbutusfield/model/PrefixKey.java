package org.arbutusfield.model;

import org.arbutusfield.lookup.Ipv4Block;

/** Client prefixes as numbers that sort by first address, then wider before narrower. */
final class PrefixKey {
    private static final int LENGTH_BITS = 6;
    private static final int LENGTH_MASK = (1 << LENGTH_BITS) - 1;

    private PrefixKey() {}

    /** The key of a prefix; the prefix must be canonical. */
    static long of(String prefix) {
        Ipv4Block block = Ipv4Block.parse(prefix)
                .getOrElseThrow(() -> new IllegalArgumentException("not a canonical IPv4 prefix: " + prefix));
        return of(block.base(), block.length());
    }

    /** The key of a first address and a length. */
    static long of(int prefixBits, int length) {
        return Integer.toUnsignedLong(prefixBits) << LENGTH_BITS | length;
    }

    /** First address of the block. */
    static int prefixBits(long key) {
        return (int) (key >>> LENGTH_BITS);
    }

    /** Prefix length in bits. */
    static int length(long key) {
        return (int) key & LENGTH_MASK;
    }

    /** CIDR notation. */
    static String notation(long key) {
        return new Ipv4Block(prefixBits(key), length(key)).notation();
    }

    /** A well-mixed hash of the key, the same on every machine. */
    static long hash(long key) {
        long mixed = (key ^ (key >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }
}
