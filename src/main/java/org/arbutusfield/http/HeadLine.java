package org.arbutusfield.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.util.ByteProcessor;
import java.nio.charset.StandardCharsets;
import java.util.BitSet;

/** Kinds of lines in the head of a message, with their syntax (RFC 9112). */
enum HeadLine {
    /** A method that is a token, a target of visible characters, and a version of HTTP/1, with one blank between. */
    REQUEST_LINE,
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

    private static final ByteProcessor IN_TOKEN = HeadLine::isInToken;
    private static final ByteProcessor IN_TARGET = b -> b < 0 || (b > ' ' && b != DELETE);
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
        return switch (this) {
            case REQUEST_LINE -> isRequestLine(in, start, end);
            case STATUS_LINE -> isStatusLine(in, start, end);
            case FIELD_LINE -> isFieldLine(in, start, end);
        };
    }

    /** True if a line of this kind can begin with a byte, so that it need not be received whole to be rejected. */
    boolean mayBeginWith(byte first) {
        return this == STATUS_LINE ? first == VERSION.getByte(0) : isInToken(first);
    }

    /** True if a line that matches is the first one of a message of HTTP/1.0. */
    boolean isHttp10(ByteBuf in, int start, int end) {
        int minorVersionAt = this == STATUS_LINE ? start + MINOR_VERSION_AT : end - 1;
        return in.getByte(minorVersionAt) == '0';
    }

    /** The status in a status line that matches. */
    static int status(ByteBuf in, int start) {
        int status = 0;
        for (int at = start + STATUS_AT; at < start + STATUS_END; at++) {
            status = status * 10 + (in.getByte(at) - '0');
        }
        return status;
    }

    /** True if the bytes have no control characters but tabs. */
    static boolean isText(ByteBuf in, int start, int end) {
        return consistsOf(IN_TEXT, in, start, end);
    }

    private static boolean isRequestLine(ByteBuf in, int start, int end) {
        int versionAt = end - MINOR_VERSION_AT - 1;
        int methodEnd = in.indexOf(start, end, (byte) ' ');
        int targetEnd = versionAt - 1;
        return methodEnd > start
                && targetEnd > methodEnd + 1
                && consistsOf(IN_TOKEN, in, start, methodEnd)
                && consistsOf(IN_TARGET, in, methodEnd + 1, targetEnd)
                && in.getByte(targetEnd) == ' '
                && ByteBufUtil.equals(VERSION, 0, in, versionAt, MINOR_VERSION_AT)
                && isDigit(in.getByte(end - 1));
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
        return start == end || (in.getByte(start) == ' ' && isText(in, start, end));
    }

    private static boolean isFieldLine(ByteBuf in, int start, int end) {
        int colon = in.indexOf(start, end, (byte) ':');
        return colon > start && consistsOf(IN_TOKEN, in, start, colon) && isText(in, colon + 1, end);
    }

    private static boolean isInToken(byte b) {
        return b > 0 && TOKEN_CHARACTERS.get(b);
    }

    private static boolean isDigit(byte b) {
        return b >= '0' && b <= '9';
    }

    private static boolean consistsOf(ByteProcessor allowed, ByteBuf in, int start, int end) {
        return in.forEachByte(start, end - start, allowed) < 0;
    }
}
