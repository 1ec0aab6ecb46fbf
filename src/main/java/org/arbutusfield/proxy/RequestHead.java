package org.arbutusfield.proxy;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Pattern;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.model.RequestClass;
import org.arbutusfield.model.Service;
import org.arbutusfield.route.Route;

/**
 * A request's head, checked.
 *
 * @param requestId its id, the caller's or a new one
 * @param service the service asked for
 * @param requestClass its class in the service
 * @param route the operator's route, if there is one
 * @param method upper-case method
 * @param target target as the caller wrote it
 * @param upstreamTarget target at the upstream, without the service
 * @param path decoded and normalised path at the upstream
 * @param deadline time allowed until the answer begins
 * @param hops entry hosts that forwarded it before
 * @param key idempotency key, if it has one
 * @param objectKey the object that it concerns, if the caller names one
 * @param length declared length of the body in bytes, if declared; none for chunked bodies
 * @param expectsContinue whether the caller waits for 100 before it sends the body
 * @param headers all header fields received
 */
record RequestHead(
        String requestId,
        Service service,
        RequestClass requestClass,
        Optional<Route> route,
        String method,
        String target,
        String upstreamTarget,
        String path,
        Duration deadline,
        int hops,
        Optional<String> key,
        Optional<String> objectKey,
        OptionalLong length,
        boolean expectsContinue,
        HttpHeaders headers) {

    private static final int DELETE = 0x7f;
    private static final int MAX_HOPS = 1;
    private static final Pattern VALID_KEY = Pattern.compile("[!-~]{1,256}");
    private static final Pattern SMALL_NUMBER = Pattern.compile("[0-9]{1,9}");
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

    /** Checks what concerns every request, for this host or for a service: framing, host, target, expectation. */
    static Optional<Failure> fault(HttpRequest request, ProxyLimits limits) {
        HttpHeaders headers = request.headers();
        boolean hostMissing =
                request.protocolVersion().equals(HttpVersion.HTTP_1_1) && !headers.contains(HttpHeaderNames.HOST);
        if (hostMissing || headers.getAll(HttpHeaderNames.HOST).size() > 1) {
            return malformed("host");
        }
        if (!request.uri().startsWith("/") || !printable(request.uri())) {
            return malformed("target");
        }
        String expected = headers.get(HttpHeaderNames.EXPECT);
        if (expected != null && !expected.equalsIgnoreCase("100-continue")) {
            return malformed("expect");
        }
        List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean chunkedOnly = encodings.size() == 1
                && encodings.get(0).equalsIgnoreCase("chunked")
                && request.protocolVersion().equals(HttpVersion.HTTP_1_1);
        if (!encodings.isEmpty() && !chunkedOnly) {
            return malformed("transfer-encoding");
        }
        List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
        if (lengths.size() > 1
                || (lengths.size() == 1 && !LENGTH.matcher(lengths.get(0)).matches())) {
            return malformed("content-length");
        }
        if (!lengths.isEmpty() && !encodings.isEmpty()) {
            return malformed("content-length with transfer-encoding");
        }
        if (lengths.size() == 1 && Long.parseLong(lengths.get(0)) > limits.bodyBytes()) {
            return Optional.of(Failure.of(ErrorCode.REQUEST_TOO_LARGE, "body"));
        }
        return Optional.empty();
    }

    /**
     * Reads a head without fault as a request for a destination.
     *
     * @param request the head
     * @param requestId the id it goes by
     * @param destination what it asks for
     * @param names names of header fields
     */
    static Either<Failure, RequestHead> read(
            HttpRequest request, String requestId, RouteMatch destination, HeaderNames names) {
        HttpHeaders headers = request.headers();
        Optional<Failure> fault = fieldFault(headers, names);
        if (fault.isPresent()) {
            return Either.left(fault.get());
        }
        String length = headers.get(HttpHeaderNames.CONTENT_LENGTH);
        return Either.right(new RequestHead(
                requestId,
                destination.service(),
                destination.requestClass(),
                destination.route(),
                request.method().name(),
                request.uri(),
                destination.target(),
                destination.path(),
                deadline(headers, destination.requestClass(), names),
                hops(headers),
                Optional.ofNullable(headers.get(ProxyHeaders.IDEMPOTENCY_KEY)),
                names.objectKey().map(headers::get),
                length == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(length)),
                HttpUtil.is100ContinueExpected(request),
                headers));
    }

    /** True when the request has a body, perhaps an empty one. */
    boolean hasBody() {
        return length.isPresent() || headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
    }

    private static Optional<Failure> fieldFault(HttpHeaders headers, HeaderNames names) {
        String deadline = headers.get(names.deadlineMillis());
        if (deadline != null && !SMALL_NUMBER.matcher(deadline).matches()) {
            return malformed(names.deadlineMillis());
        }
        String hop = headers.get(ProxyHeaders.HOP);
        if (hop != null && !SMALL_NUMBER.matcher(hop).matches()) {
            return malformed(ProxyHeaders.HOP);
        }
        if (hops(headers) > MAX_HOPS) {
            return Optional.of(Failure.of(ErrorCode.NO_UPSTREAM, ProxyHeaders.HOP, "forwarded too often"));
        }
        List<String> keys = headers.getAll(ProxyHeaders.IDEMPOTENCY_KEY);
        if (keys.size() > 1
                || (keys.size() == 1 && !VALID_KEY.matcher(keys.get(0)).matches())) {
            return malformed(ProxyHeaders.IDEMPOTENCY_KEY);
        }
        return Optional.empty();
    }

    private static Duration deadline(HttpHeaders headers, RequestClass requestClass, HeaderNames names) {
        String given = headers.get(names.deadlineMillis());
        long allowed = requestClass.deadlineMillis();
        return Duration.ofMillis(given == null ? allowed : Math.min(allowed, Long.parseLong(given)));
    }

    private static int hops(HttpHeaders headers) {
        String hop = headers.get(ProxyHeaders.HOP);
        return hop == null ? 0 : Integer.parseInt(hop);
    }

    /** True when the target has no control characters, blanks or characters beyond ASCII. */
    private static boolean printable(String target) {
        return target.chars().allMatch(c -> c > ' ' && c < DELETE);
    }

    private static Optional<Failure> malformed(String subject) {
        return Optional.of(Failure.of(ErrorCode.REQUEST_MALFORMED, subject));
    }
}
