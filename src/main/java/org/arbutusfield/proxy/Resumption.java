package org.arbutusfield.proxy;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * How the rest of an answer that broke off can be had elsewhere.
 *
 * <p>Problem: the first part of a body has gone to the caller and its connection broke. Another server may have the
 * same resource, or another version of it.
 *
 * <p>Idea: ask for exactly the missing range on the condition of the first answer's strong validator, and take the
 * answer only if it is that range of that version.
 *
 * <p>Invariants: the validator is strong and the same in both answers; the second answer is 206; its range begins at
 * the first missing byte, ends at the last one and names the same total; its length, where given, is that of the range;
 * its content coding is the same. Anything else ends in a visible break.
 *
 * <p>Example: 200 with {@code ETag: "a"} and length 100 breaks after 40 bytes. The request goes out again with
 * {@code Range: bytes=40-99} and {@code If-Range: "a"}; {@code Content-Range: bytes 40-99/100} with {@code ETag: "a"}
 * goes on, a 200 or {@code "b"} does not.
 *
 * @param validator strong entity tag, quotes included
 * @param first position of the first byte of the caller's answer in the resource
 * @param last position of its last byte
 * @param total length of the resource
 * @param coding content coding; empty if none
 * @param taken bytes of the answer that were taken so far
 */
record Resumption(String validator, long first, long last, long total, String coding, long taken) {
    private static final Pattern CONTENT_RANGE = Pattern.compile("bytes ([0-9]{1,18})-([0-9]{1,18})/([0-9]{1,18})");

    /** How an answer to GET could be resumed, if it can. */
    static Optional<Resumption> of(HttpResponse answer) {
        HttpHeaders headers = answer.headers();
        String validator = headers.get(HttpHeaderNames.ETAG);
        if (validator == null || !validator.startsWith("\"")) {
            return Optional.empty();
        }
        String coding = headers.get(HttpHeaderNames.CONTENT_ENCODING, "");
        if (answer.status().code() == 200 && HttpUtil.isContentLengthSet(answer)) {
            if (!headers.contains(HttpHeaderNames.ACCEPT_RANGES, "bytes", true)) {
                return Optional.empty();
            }
            long length = HttpUtil.getContentLength(answer);
            return Optional.of(new Resumption(validator, 0, length - 1, length, coding, 0));
        }
        Matcher range = CONTENT_RANGE.matcher(headers.get(HttpHeaderNames.CONTENT_RANGE, ""));
        if (answer.status().code() != 206 || !range.matches()) {
            return Optional.empty();
        }
        return Optional.of(new Resumption(
                validator,
                Long.parseLong(range.group(1)),
                Long.parseLong(range.group(2)),
                Long.parseLong(range.group(3)),
                coding,
                0));
    }

    /** The same after so many bytes of the answer were taken. */
    Resumption at(long bytesTaken) {
        return new Resumption(validator, first, last, total, coding, bytesTaken);
    }

    /** True when bytes are missing. */
    boolean incomplete() {
        return first + taken <= last;
    }

    /** Asks for the missing range. */
    void applyTo(HttpHeaders headers) {
        headers.set(HttpHeaderNames.RANGE, "bytes=" + (first + taken) + "-" + last);
        headers.set(HttpHeaderNames.IF_RANGE, validator);
    }

    /** True when the answer is exactly the missing range of the same version. */
    boolean continuedBy(HttpResponse answer) {
        HttpHeaders headers = answer.headers();
        String range = "bytes " + (first + taken) + "-" + last + "/" + total;
        boolean lengthFits =
                !HttpUtil.isContentLengthSet(answer) || HttpUtil.getContentLength(answer) == last - first - taken + 1;
        return answer.status().code() == 206
                && validator.equals(headers.get(HttpHeaderNames.ETAG))
                && range.equals(headers.get(HttpHeaderNames.CONTENT_RANGE))
                && coding.equals(headers.get(HttpHeaderNames.CONTENT_ENCODING, ""))
                && lengthFits;
    }
}
