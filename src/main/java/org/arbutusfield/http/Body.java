package org.arbutusfield.http;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** The content of a message. Equality is by content; the byte array is shared, not copied. */
public final class Body {
    private static final Body EMPTY = new Body(new byte[0]);

    private final byte[] bytes;

    private Body(byte[] bytes) {
        this.bytes = bytes;
    }

    /** An empty body. */
    public static Body empty() {
        return EMPTY;
    }

    /** A body that shares the array, which must not be modified afterwards. */
    public static Body of(byte[] bytes) {
        return new Body(bytes);
    }

    /** A body of UTF-8 text. */
    public static Body of(String text) {
        return new Body(text.getBytes(StandardCharsets.UTF_8));
    }

    /** The content; must not be modified. */
    public byte[] bytes() {
        return bytes;
    }

    /** Length in bytes. */
    public int length() {
        return bytes.length;
    }

    /** The content as UTF-8 text. */
    public String text() {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Body that && Arrays.equals(bytes, that.bytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bytes);
    }

    @Override
    public String toString() {
        return "Body[" + bytes.length + " bytes]";
    }
}
