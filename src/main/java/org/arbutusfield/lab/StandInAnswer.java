package org.arbutusfield.lab;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.arbutusfield.http.SimpleHttpRequest;

/**
 * The bytes of an answer: a head and a body, the body of a blob computed from the position of its bytes.
 *
 * @param head status line and header fields, without framing
 * @param small the body, if it is kept
 * @param first position of the first byte of a blob's range
 * @param length bytes of the body
 * @param seed what a blob's bytes depend on besides their position
 */
record StandInAnswer(String head, Optional<byte[]> small, long first, long length, int seed) {
    private static final Pattern BLOB = Pattern.compile("/blob/([0-9]{1,12})");
    private static final Pattern RANGE = Pattern.compile("bytes=([0-9]{1,12})-([0-9]{0,12})");
    private static final int PRIME = 31;

    static StandInAnswer of(SimpleHttpRequest call, String name, String validator) {
        Matcher blob = BLOB.matcher(call.path());
        if (blob.matches() && (call.method().equals("GET") || call.method().equals("HEAD"))) {
            return blob(call, Long.parseLong(blob.group(1)), validator);
        }
        String text = name + " " + call.method() + " " + call.target() + "\n" + call.text();
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        String head = "HTTP/1.1 200 OK\r\ncontent-type: text/plain; charset=utf-8\r\n";
        return new StandInAnswer(head, Optional.of(bytes), 0, bytes.length, 0);
    }

    static StandInAnswer unavailable(boolean notRun) {
        byte[] bytes = "unavailable\n".getBytes(StandardCharsets.UTF_8);
        String head = "HTTP/1.1 503 Service Unavailable\r\ncontent-type: text/plain\r\n"
                + (notRun ? "x-not-run: true\r\n" : "");
        return new StandInAnswer(head, Optional.of(bytes), 0, bytes.length, 0);
    }

    /** The byte of a blob at a position. */
    static byte blobByte(int seed, long position) {
        return (byte) (seed + position * PRIME + (position >> 8));
    }

    /** What the bytes of the blob at a target depend on. */
    static int blobSeed(String target) {
        return target.hashCode();
    }

    /** The bytes of the body from an offset. */
    byte[] body(long offset, int count) {
        byte[] bytes = new byte[count];
        for (int i = 0; i < count; i++) {
            bytes[i] = small.isPresent() ? small.get()[(int) offset + i] : blobByte(seed, first + offset + i);
        }
        return bytes;
    }

    private static StandInAnswer blob(SimpleHttpRequest call, long total, String validator) {
        String fields = "etag: " + validator + "\r\naccept-ranges: bytes\r\n";
        Matcher range = RANGE.matcher(call.header("range").orElse(""));
        boolean sameVersion = call.header("if-range").map(validator::equals).orElse(true);
        int seed = blobSeed(call.target());
        if (!range.matches() || !sameVersion) {
            return new StandInAnswer("HTTP/1.1 200 OK\r\n" + fields, Optional.empty(), 0, total, seed);
        }
        long first = Long.parseLong(range.group(1));
        long last = range.group(2).isEmpty() ? total - 1 : Math.min(total - 1, Long.parseLong(range.group(2)));
        String head = "HTTP/1.1 206 Partial Content\r\n" + fields + "content-range: bytes " + first + "-" + last + "/"
                + total + "\r\n";
        return new StandInAnswer(head, Optional.empty(), first, last - first + 1, seed);
    }
}
