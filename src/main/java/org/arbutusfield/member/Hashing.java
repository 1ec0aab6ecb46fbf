package org.arbutusfield.member;

/** Hash functions that give the same result on every host and in every release. */
final class Hashing {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private Hashing() {}

    /** FNV-1a hash over the UTF-16 characters of a name. */
    static long fnv1a(String name) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * FNV_PRIME;
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
