package org.arbutusfield.note;

import org.arbutusfield.misc.Digests;

/** Immutable content addressed by its digest, in the store and between hosts. Equality is by digest. */
final class Segment {
    private final String digest;
    private final byte[] bytes;

    private Segment(String digest, byte[] bytes) {
        this.digest = digest;
        this.bytes = bytes;
    }

    /** Creates a segment. The bytes are not copied and must not be modified afterwards. */
    static Segment of(byte[] bytes) {
        return new Segment(Digests.sha256(bytes), bytes);
    }

    /** Creates a segment whose digest is already known; the digest is not verified. */
    static Segment of(String digest, byte[] bytes) {
        return new Segment(digest, bytes);
    }

    /** SHA-256 of the content, in hexadecimal. */
    String digest() {
        return digest;
    }

    /** The content; must not be modified. */
    byte[] bytes() {
        return bytes;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Segment that && digest.equals(that.digest);
    }

    @Override
    public int hashCode() {
        return digest.hashCode();
    }
}
