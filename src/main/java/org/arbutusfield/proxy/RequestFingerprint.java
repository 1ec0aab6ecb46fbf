package org.arbutusfield.proxy;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.io.ByteArrayOutputStream;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.arbutusfield.misc.Digests;
import org.arbutusfield.team.Team;

/** Digests that tell whether two requests are the same request. */
final class RequestFingerprint {
    private static final byte SEPARATOR = 0;
    /** Enough to make two requests with the same digits implausible; the digest is sent between hosts and logged. */
    private static final int REPEAT_DIGITS = 32;

    private RequestFingerprint() {}

    /** Digest of method, target and body. For a body too large to keep, only its declared length is included. */
    static String of(RequestHead head, RequestBody body) {
        return Digests.sha256(content(head, body).toByteArray());
    }

    /**
     * Two digests that are equal when a request comes again, with another request id and on any connection: one of its
     * host name, method, target and body, and one of these and the caller. A request may be harmful whoever sends it,
     * or only because of its caller.
     *
     * @param caller address of the caller, which names it unless the request has credentials
     * @return one or, unless another host has passed the request on, both; each with {@value #REPEAT_DIGITS} lower-case
     *     hexadecimal digits
     */
    static List<String> ofRepeats(RequestHead head, RequestBody body, InetAddress caller) {
        ByteArrayOutputStream content = content(head, body);
        content.write(SEPARATOR);
        content.writeBytes(head.headers().get(HttpHeaderNames.HOST, "").getBytes(StandardCharsets.UTF_8));
        String ofContent = Digests.sha256(content.toByteArray());
        if (head.hops() > 0) {
            // The caller is the host that passed the request on.
            return List.of(ofContent.substring(0, REPEAT_DIGITS));
        }
        String credentials = credentials(head);
        content.write(SEPARATOR);
        content.writeBytes(credentials.isEmpty() ? caller.getAddress() : credentials.getBytes(StandardCharsets.UTF_8));
        String ofContentAndCaller = Digests.sha256(content.toByteArray());
        return List.of(
                ofContent.substring(0, REPEAT_DIGITS),
                ofContentAndCaller.substring(0, REPEAT_DIGITS) + CrashGuard.OF_CALLER);
    }

    /**
     * Returns what names the caller. With teams that is the team's name: the digest is sent between hosts, stored and
     * logged, and a weak key could be found from it.
     */
    private static String credentials(RequestHead head) {
        return head.identity().required()
                ? head.team().map(Team::name).orElse("")
                : head.headers().get(HttpHeaderNames.AUTHORIZATION, "");
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
