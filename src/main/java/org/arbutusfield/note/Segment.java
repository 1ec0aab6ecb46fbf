package org.arbutusfield.note;

import org.arbutusfield.misc.Digests;

/** Immutable content and its digest, by which it is named in the store and between hosts. Equality is by digest. */
final class Segment {
    private final String digest;
    private final byte[] bytes;

    private Segment(String digest, byte[] bytes) {
        this.digest = digest;
        this.bytes = bytes;
    }

    /** A segment of bytes that nobody changes afterwards. */
    static Segment of(byte[] bytes) {
        return new Segment(Digests.sha256(bytes), bytes);
    }

    /** A segment whose digest is known already. */
    static Segment of(String digest, byte[] bytes) {
        return new Segment(digest, bytes);
    }

    /** SHA-256 of the content, in hexadecimal. */
    String digest() {
        return digest;
    }

    /** The content; must not be changed. */
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
