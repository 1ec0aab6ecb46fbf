package org.arbutusfield.spread;

import java.util.Arrays;

/** The whole content of one accepted configuration. Immutable. */
public final class Snapshot {
    private final RootPointer root;
    private final byte[] content;

    private Snapshot(RootPointer root, byte[] content) {
        this.root = root;
        this.content = content;
    }

    /** A snapshot; takes the array over, which must not be changed afterwards. */
    public static Snapshot of(RootPointer root, byte[] content) {
        return new Snapshot(root, content);
    }

    /** Which configuration this is. */
    public RootPointer root() {
        return root;
    }

    /** Length of the content, in bytes. */
    public int length() {
        return content.length;
    }

    /** A copy of the content. */
    public byte[] content() {
        return content.clone();
    }

    /** A copy of a part of the content, shorter at its end. */
    byte[] part(int offset, int length) {
        return Arrays.copyOfRange(content, offset, Math.min(content.length, offset + length));
    }

    /** The content itself, for readers in this package. */
    byte[] shared() {
        return content;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Snapshot that && root.equals(that.root) && Arrays.equals(content, that.content);
    }

    @Override
    public int hashCode() {
        return root.hashCode();
    }

    @Override
    public String toString() {
        return "Snapshot[root=" + root + ", bytes=" + content.length + "]";
    }
}
