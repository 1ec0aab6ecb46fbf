package org.arbutusfield.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.util.ByteProcessor;
import java.nio.charset.StandardCharsets;
import java.util.BitSet;

/** Kinds of lines in the head of a response, with their syntax (RFC 9112). */
public enum HeadLine {
    /** A version of HTTP/1, a status from 100 to 599 and, if anything follows, a reason phrase. */
    STATUS_LINE,
    /** A name that is a token, a colon directly after it, and a value without control characters but tabs. */
    FIELD_LINE;

    private static final ByteBuf VERSION =
            Unpooled.unreleasableBuffer(Unpooled.wrappedBuffer("HTTP/1.".getBytes(StandardCharsets.US_ASCII))
                    .asReadOnly());
    /** Positions in a status line, in bytes. */
    private static final int MINOR_VERSION_AT = 7;

    private static final int STATUS_AT = 9;
    private static final int STATUS_END = 12;

    private static final String LETTERS_AND_DIGITS = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789";
    private static final BitSet TOKEN_CHARACTERS =
            (LETTERS_AND_DIGITS + "!#$%&'*+-.^_`|~").chars().collect(BitSet::new, BitSet::set, BitSet::or);
    private static final byte DELETE = 0x7f;

    private static final ByteProcessor IN_TOKEN = b -> b > 0 && TOKEN_CHARACTERS.get(b);
    /** Bytes above 0x7f, which are negative here, are allowed. */
    private static final ByteProcessor IN_TEXT = b -> b < 0 || b == '\t' || (b >= ' ' && b != DELETE);

    /**
     * True if the bytes are a line of this kind.
     *
     * @param in bytes received
     * @param start index of the first byte of the line
     * @param end index after its last byte, without the end of the line
     */
    boolean matches(ByteBuf in, int start, int end) {
        return this == STATUS_LINE ? isStatusLine(in, start, end) : isFieldLine(in, start, end);
    }

    private static boolean isStatusLine(ByteBuf in, int start, int end) {
        return end - start >= STATUS_END
                && ByteBufUtil.equals(VERSION, 0, in, start, MINOR_VERSION_AT)
                && isDigit(in.getByte(start + MINOR_VERSION_AT))
                && in.getByte(start + STATUS_AT - 1) == ' '
                && isStatus(in, start + STATUS_AT)
                && isReason(in, start + STATUS_END, end);
    }

    private static boolean isStatus(ByteBuf in, int at) {
        byte statusClass = in.getByte(at);
        return statusClass >= '1' && statusClass <= '5' && isDigit(in.getByte(at + 1)) && isDigit(in.getByte(at + 2));
    }

    private static boolean isReason(ByteBuf in, int start, int end) {
        return start == end || (in.getByte(start) == ' ' && consistsOf(IN_TEXT, in, start, end));
    }

    private static boolean isFieldLine(ByteBuf in, int start, int end) {
        int colon = in.indexOf(start, end, (byte) ':');
        return colon > start && consistsOf(IN_TOKEN, in, start, colon) && consistsOf(IN_TEXT, in, colon + 1, end);
    }

    private static boolean isDigit(byte b) {
        return b >= '0' && b <= '9';
    }

    private static boolean consistsOf(ByteProcessor allowed, ByteBuf in, int start, int end) {
        return in.forEachByte(start, end - start, allowed) < 0;
    }
}
