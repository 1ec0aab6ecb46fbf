package org.arbutusfield.proxy;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.io.ByteArrayOutputStream;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import org.arbutusfield.misc.Digests;

/** Digests that tell whether two requests are the same request. */
final class RequestFingerprint {
    private static final byte SEPARATOR = 0;
    /** Enough to make two requests with the same digits implausible; the digest is sent between hosts and logged. */
    private static final int CALLER_DIGITS = 32;

    private RequestFingerprint() {}

    /** Digest of method, target and body. For a body too large to keep, only its declared length is included. */
    static String of(RequestHead head, RequestBody body) {
        return Digests.sha256(content(head, body).toByteArray());
    }

    /**
     * Digest of the same and of host name and caller: equal when a caller sends the same request again, with another
     * request id and on any connection.
     *
     * @param caller address of the caller
     * @return {@value #CALLER_DIGITS} lower-case hexadecimal digits
     */
    static String withCaller(RequestHead head, RequestBody body, InetAddress caller) {
        ByteArrayOutputStream content = content(head, body);
        content.write(SEPARATOR);
        content.writeBytes(head.headers().get(HttpHeaderNames.HOST, "").getBytes(StandardCharsets.UTF_8));
        content.write(SEPARATOR);
        content.writeBytes(caller.getAddress());
        return Digests.sha256(content.toByteArray()).substring(0, CALLER_DIGITS);
    }

    private static ByteArrayOutputStream content(RequestHead head, RequestBody body) {
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        content.writeBytes(head.method().getBytes(StandardCharsets.UTF_8));
        content.write(SEPARATOR);
        content.writeBytes(head.upstreamTarget().getBytes(StandardCharsets.UTF_8));
        content.write(SEPARATOR);
        if (body.fullyKept()) {
            content.writeBytes(body.bytes());
        } else {
            content.writeBytes(head.length().toString().getBytes(StandardCharsets.UTF_8));
        }
        return content;
    }
}
