package org.arbutusfield.http;

import io.netty.buffer.ByteBuf;

/** The line before the bytes of a chunk (RFC 9112, section 7.1): a hexadecimal size and, if any, extensions. */
final class ChunkSize {
    /** What is read from a line that isn't valid. */
    static final long INVALID = -1;

    private static final int RADIX = 16;
    private static final int MAX_DIGITS = 15;

    private ChunkSize() {}

    /**
     * Returns the size of the chunk in bytes, or {@link #INVALID}.
     *
     * @param in bytes received
     * @param start index of the first byte of the line
     * @param end index after its last byte, without the end of the line
     */
    static long read(ByteBuf in, int start, int end) {
        long size = 0;
        int at = start;
        while (at < end && Character.digit(in.getByte(at), RADIX) >= 0) {
            size = size * RADIX + Character.digit(in.getByte(at), RADIX);
            at++;
        }
        boolean hasSize = at > start && at - start <= MAX_DIGITS;
        return hasSize && isExtension(in, at, end) ? size : INVALID;
    }

    /** True if the rest of the line is blank, or begins with a semicolon and is text. */
    private static boolean isExtension(ByteBuf in, int start, int end) {
        int at = start;
        while (at < end && (in.getByte(at) == ' ' || in.getByte(at) == '\t')) {
            at++;
        }
        return at == end || (in.getByte(at) == ';' && HeadLine.isText(in, at, end));
    }
}
