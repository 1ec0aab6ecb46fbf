package org.arbutusfield.misc;

/** The ASCII characters that have a glyph: all but the space and the control characters. */
public final class VisibleAscii {
    private static final int DELETE = 0x7f;

    private VisibleAscii() {}

    /** Returns true if the character is one of them. */
    public static boolean includes(int c) {
        return c > ' ' && c < DELETE;
    }

    /** Returns true if the text has no other character; also if it is empty. */
    public static boolean only(String text) {
        return text.chars().allMatch(VisibleAscii::includes);
    }
}
