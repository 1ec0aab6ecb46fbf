package org.arbutusfield.team;

import java.security.MessageDigest;

/**
 * Keyed digest of a key. Equal keys of one {@link KeyDigester} have equal digests; the key can't be found from it
 * without the digester's secret.
 */
public final class KeyDigest {
    private static final int BYTE_MASK = 0xff;
    private static final int HASH_BYTES = Integer.BYTES;

    private final byte[] bytes;

    private KeyDigest(byte[] bytes) {
        this.bytes = bytes;
    }

    static KeyDigest of(byte[] bytes) {
        return new KeyDigest(bytes.clone());
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof KeyDigest digest && MessageDigest.isEqual(bytes, digest.bytes);
    }

    /** The first bytes, which are evenly distributed because the digest is. */
    @Override
    public int hashCode() {
        int hash = 0;
        for (int i = 0; i < HASH_BYTES; i++) {
            hash = (hash << Byte.SIZE) | (bytes[i] & BYTE_MASK);
        }
        return hash;
    }

    /** Tells nothing of the key, nor of the digest. */
    @Override
    public String toString() {
        return "KeyDigest";
    }
}
