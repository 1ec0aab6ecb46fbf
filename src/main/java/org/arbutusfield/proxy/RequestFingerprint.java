package org.arbutusfield.proxy;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.arbutusfield.misc.Digests;

/** Digest that tells whether two requests with the same idempotency key are the same request. */
final class RequestFingerprint {
    private static final byte SEPARATOR = 0;

    private RequestFingerprint() {}

    /** Digest of method, target and body. For a body too large to keep, only its declared length is included. */
    static String of(RequestHead head, RequestBody body) {
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
        return Digests.sha256(content.toByteArray());
    }
}
