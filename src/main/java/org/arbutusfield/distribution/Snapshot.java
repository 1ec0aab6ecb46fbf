package org.arbutusfield.distribution;

import java.util.Arrays;

/** The whole content of one accepted configuration. Immutable. */
public final class Snapshot {
    private final RevisionId revisionId;
    private final byte[] content;

    private Snapshot(RevisionId revisionId, byte[] content) {
        this.revisionId = revisionId;
        this.content = content;
    }

    /** A snapshot of the given content. The array is not copied and must not be changed afterwards. */
    public static Snapshot of(RevisionId revisionId, byte[] content) {
        return new Snapshot(revisionId, content);
    }

    /** Identifies the configuration. */
    public RevisionId revisionId() {
        return revisionId;
    }

    /** Length of the content, in bytes. */
    public int length() {
        return content.length;
    }

    /** A copy of the content. */
    public byte[] content() {
        return content.clone();
    }

    /** A copy of a part of the content; shorter than the given length at the end of the content. */
    byte[] part(int offset, int length) {
        return Arrays.copyOfRange(content, offset, Math.min(content.length, offset + length));
    }

    /** The content itself without a copy, for readers in this package. */
    byte[] shared() {
        return content;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Snapshot that
                && revisionId.equals(that.revisionId)
                && Arrays.equals(content, that.content);
    }

    @Override
    public int hashCode() {
        return revisionId.hashCode();
    }

    @Override
    public String toString() {
        return "Snapshot[revisionId=" + revisionId + ", bytes=" + content.length + "]";
    }
}
