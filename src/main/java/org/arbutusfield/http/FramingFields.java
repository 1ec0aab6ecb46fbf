package org.arbutusfield.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.util.AsciiString;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;

/**
 * What the head of a message says of the end of its body, as it was received.
 *
 * <p>Problem: a head can state the end of the body more than once, and its readers differ in which statement they
 * believe. What one takes for the whole body is half of it for another, and the rest becomes the next message.
 *
 * <p>Idea: a head that leaves a choice is rejected, in both directions and both versions of HTTP/1.
 *
 * <p>The rules (RFC 9112, sections 6.1 to 6.3):
 *
 * <pre>
 * Transfer-Encoding    Content-Length       HTTP/1.0       HTTP/1.1
 * none                 none                 request: no body; response: until the connection is closed
 * none                 one number           that length    that length
 * none                 anything else        rejected       rejected
 * "chunked", once      none                 rejected       chunks
 * "chunked", once      any                  rejected       rejected
 * anything else        any or none          rejected       rejected
 * </pre>
 *
 * <p>A response to {@code HEAD}, and one with a status of 1xx, 204 or 304, has no body whatever its head says; it is
 * rejected by the same rules, since its fields are passed on. Section 6.3 would allow a list of equal lengths, and
 * codings before the chunks; no party here needs them.
 *
 * <p>Example: {@code Content-Length: 2} and {@code Content-Length: 4} in one head are rejected, in this order or the
 * other.
 *
 * @param http10 whether the version is HTTP/1.0
 * @param lengths number of fields that state a length
 * @param length the last length stated, in bytes; negative if it isn't one number
 * @param codings number of fields that state codings
 * @param chunked whether the last of them is {@code chunked} alone
 */
record FramingFields(boolean http10, int lengths, long length, int codings, boolean chunked) {
    private static final long INVALID = -1;
    private static final int MAX_LENGTH_DIGITS = 18;

    /** The fields of a head whose first line has been read. */
    static FramingFields of(boolean http10) {
        return new FramingFields(http10, 0, INVALID, 0, false);
    }

    /**
     * Adds a field, unless it has nothing to do with the body's end.
     *
     * @param in bytes received
     * @param start index of the first byte of the field's line
     * @param end index after its last byte, without the end of the line
     */
    FramingFields with(ByteBuf in, int start, int end) {
        int colon = in.indexOf(start, end, (byte) ':');
        if (isText(HttpHeaderNames.CONTENT_LENGTH, in, start, colon)) {
            return new FramingFields(http10, lengths + 1, number(in, colon + 1, end), codings, chunked);
        }
        if (isText(HttpHeaderNames.TRANSFER_ENCODING, in, start, colon)) {
            String value = value(in, colon + 1, end);
            boolean isChunked = HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(value);
            return new FramingFields(http10, lengths, length, codings + 1, isChunked);
        }
        return this;
    }

    /** The framing of a request with these fields. */
    Either<MessageFault, Framing> ofRequest() {
        return framing(Framing.NO_BODY);
    }

    /**
     * The framing of a response with these fields.
     *
     * @param bodiless whether the response has no body because of its status or of the request
     */
    Either<MessageFault, Framing> ofResponse(boolean bodiless) {
        return framing(Framing.UNTIL_CLOSE).map(framing -> bodiless ? Framing.NO_BODY : framing);
    }

    private Either<MessageFault, Framing> framing(Framing unstated) {
        if (codings > 0) {
            boolean onlyChunked = codings == 1 && chunked && lengths == 0 && !http10;
            return onlyChunked ? Either.right(Framing.CHUNKS) : Either.left(MessageFault.TRANSFER_ENCODING);
        }
        if (lengths == 0) {
            return Either.right(unstated);
        }
        return lengths == 1 && length >= 0
                ? Either.right(Framing.ofLength(length))
                : Either.left(MessageFault.CONTENT_LENGTH);
    }

    private static long number(ByteBuf in, int start, int end) {
        String value = value(in, start, end);
        boolean valid = !value.isEmpty()
                && value.length() <= MAX_LENGTH_DIGITS
                && value.chars().allMatch(c -> c >= '0' && c <= '9');
        return valid ? Long.parseLong(value) : INVALID;
    }

    /** Returns the text without the blanks and tabs around it. */
    private static String value(ByteBuf in, int start, int end) {
        int from = start;
        int to = end;
        while (from < to && isBlank(in.getByte(from))) {
            from++;
        }
        while (to > from && isBlank(in.getByte(to - 1))) {
            to--;
        }
        return in.toString(from, to - from, StandardCharsets.ISO_8859_1);
    }

    private static boolean isBlank(byte b) {
        return b == ' ' || b == '\t';
    }

    private static boolean isText(AsciiString text, ByteBuf in, int start, int end) {
        if (end - start != text.length()) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            if (AsciiString.toLowerCase((char) (in.getByte(start + i) & 0xff)) != text.charAt(i)) {
                return false;
            }
        }
        return true;
    }
}
