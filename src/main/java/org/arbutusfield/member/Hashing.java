package org.arbutusfield.member;

/** Hashes that are alike on every host and release. */
final class Hashing {
    private static final long OFFSET = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;

    private Hashing() {}

    /** FNV-1a of a name's characters. */
    static long name(String name) {
        long hash = OFFSET;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * PRIME;
        }
        return hash;
    }

    /** Spreads every bit of the input over all bits of the result. */
    static long mix(long bits) {
        long z = bits + 0x9e3779b97f4a7c15L;
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
