package org.arbutusfield.lab;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.arbutusfield.http.SimpleHttpRequest;

/**
 * A response of an upstream stand-in. The bytes of a blob are not stored but computed from their position.
 *
 * @param head status line and header fields, without framing
 * @param fixedBody the body; empty for a blob
 * @param firstPosition position of the first byte of the body in the blob
 * @param length length of the body in bytes
 * @param seed value from which, with their position, the bytes of a blob are computed
 */
record StandInResponse(String head, Optional<byte[]> fixedBody, long firstPosition, long length, int seed) {
    private static final Pattern BLOB = Pattern.compile("/blob/([0-9]{1,12})");
    private static final Pattern RANGE = Pattern.compile("bytes=([0-9]{1,12})-([0-9]{0,12})");
    private static final int PRIME = 31;

    static StandInResponse of(SimpleHttpRequest request, String name, String validator) {
        Matcher blob = BLOB.matcher(request.path());
        if (blob.matches()
                && (request.method().equals("GET") || request.method().equals("HEAD"))) {
            return blob(request, Long.parseLong(blob.group(1)), validator);
        }
        String text = name + " " + request.method() + " " + request.target() + "\n" + request.text();
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        String head = "HTTP/1.1 200 OK\r\ncontent-type: text/plain; charset=utf-8\r\n";
        return new StandInResponse(head, Optional.of(bytes), 0, bytes.length, 0);
    }

    static StandInResponse unavailable(boolean notRun) {
        byte[] bytes = "unavailable\n".getBytes(StandardCharsets.UTF_8);
        String head = "HTTP/1.1 503 Service Unavailable\r\ncontent-type: text/plain\r\n"
                + (notRun ? "x-not-run: true\r\n" : "");
        return new StandInResponse(head, Optional.of(bytes), 0, bytes.length, 0);
    }

    /** Returns the byte of a blob at a position. */
    static byte blobByte(int seed, long position) {
        return (byte) (seed + position * PRIME + (position >> 8));
    }

    /** Returns the seed of the blob at a target. */
    static int blobSeed(String target) {
        return target.hashCode();
    }

    /** Returns {@code count} bytes of the body from an offset on. */
    byte[] body(long offset, int count) {
        byte[] bytes = new byte[count];
        for (int i = 0; i < count; i++) {
            bytes[i] = fixedBody.isPresent()
                    ? fixedBody.get()[(int) offset + i]
                    : blobByte(seed, firstPosition + offset + i);
        }
        return bytes;
    }

    private static StandInResponse blob(SimpleHttpRequest request, long total, String validator) {
        String fields = "etag: " + validator + "\r\naccept-ranges: bytes\r\n";
        Matcher range = RANGE.matcher(request.header("range").orElse(""));
        boolean sameVersion = request.header("if-range").map(validator::equals).orElse(true);
        int seed = blobSeed(request.target());
        if (!range.matches() || !sameVersion) {
            return new StandInResponse("HTTP/1.1 200 OK\r\n" + fields, Optional.empty(), 0, total, seed);
        }
        long firstPosition = Long.parseLong(range.group(1));
        long lastPosition = range.group(2).isEmpty() ? total - 1 : Math.min(total - 1, Long.parseLong(range.group(2)));
        String head = "HTTP/1.1 206 Partial Content\r\n" + fields + "content-range: bytes " + firstPosition + "-"
                + lastPosition + "/" + total + "\r\n";
        return new StandInResponse(head, Optional.empty(), firstPosition, lastPosition - firstPosition + 1, seed);
    }
}
