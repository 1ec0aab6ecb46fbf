package org.arbutusfield.proxy;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The state needed to request, from another upstream, the rest of a response that broke off.
 *
 * <p>Problem: the first part of a body was sent to the caller before the upstream connection broke. Another upstream
 * may have the same version of the resource or a different one.
 *
 * <p>Idea: request exactly the missing range on the condition of the first response's strong validator, and accept the
 * response only if it is that range of that version.
 *
 * <p>Invariants: the validator is strong and the same in both responses; the second response is 206; its range begins
 * at the first missing byte, ends at the last one and has the same total; its length, if given, is that of the range;
 * its content coding is the same. In any other case the connection to the caller is reset.
 *
 * <p>Example: 200 with {@code ETag: "a"} and length 100 breaks off after 40 bytes. The request is sent again with
 * {@code Range: bytes=40-99} and {@code If-Range: "a"}; {@code Content-Range: bytes 40-99/100} with {@code ETag: "a"}
 * is accepted; a 200 response or {@code "b"} is not.
 *
 * @param validator strong entity tag, including its quotes
 * @param first position in the resource of the first byte of the caller's response
 * @param last position in the resource of its last byte
 * @param total length of the resource
 * @param contentCoding content coding; empty if none
 * @param received bytes of the response received so far
 */
record Resumption(String validator, long first, long last, long total, String contentCoding, long received) {
    private static final Pattern CONTENT_RANGE = Pattern.compile("bytes ([0-9]{1,18})-([0-9]{1,18})/([0-9]{1,18})");

    /** How a response to a GET request can be resumed; empty if it cannot. */
    static Optional<Resumption> of(HttpResponse response) {
        HttpHeaders headers = response.headers();
        String validator = headers.get(HttpHeaderNames.ETAG);
        if (validator == null || !validator.startsWith("\"")) {
            return Optional.empty();
        }
        String contentCoding = headers.get(HttpHeaderNames.CONTENT_ENCODING, "");
        if (response.status().code() == 200 && HttpUtil.isContentLengthSet(response)) {
            if (!headers.contains(HttpHeaderNames.ACCEPT_RANGES, "bytes", true)) {
                return Optional.empty();
            }
            long length = HttpUtil.getContentLength(response);
            return Optional.of(new Resumption(validator, 0, length - 1, length, contentCoding, 0));
        }
        Matcher range = CONTENT_RANGE.matcher(headers.get(HttpHeaderNames.CONTENT_RANGE, ""));
        if (response.status().code() != 206 || !range.matches()) {
            return Optional.empty();
        }
        return Optional.of(new Resumption(
                validator,
                Long.parseLong(range.group(1)),
                Long.parseLong(range.group(2)),
                Long.parseLong(range.group(3)),
                contentCoding,
                0));
    }

    /** A copy for the given number of response bytes received. */
    Resumption withReceived(long bytesReceived) {
        return new Resumption(validator, first, last, total, contentCoding, bytesReceived);
    }

    /** True if bytes are missing. */
    boolean incomplete() {
        return first + received <= last;
    }

    /** Adds the fields that request the missing range. */
    void applyTo(HttpHeaders headers) {
        headers.set(HttpHeaderNames.RANGE, "bytes=" + (first + received) + "-" + last);
        headers.set(HttpHeaderNames.IF_RANGE, validator);
    }

    /** True if the response is exactly the missing range of the same version. */
    boolean isContinuedBy(HttpResponse response) {
        HttpHeaders headers = response.headers();
        String range = "bytes " + (first + received) + "-" + last + "/" + total;
        boolean lengthMatches = !HttpUtil.isContentLengthSet(response)
                || HttpUtil.getContentLength(response) == last - first - received + 1;
        return response.status().code() == 206
                && validator.equals(headers.get(HttpHeaderNames.ETAG))
                && range.equals(headers.get(HttpHeaderNames.CONTENT_RANGE))
                && contentCoding.equals(headers.get(HttpHeaderNames.CONTENT_ENCODING, ""))
                && lengthMatches;
    }
}
