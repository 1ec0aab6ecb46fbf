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
import org.arbutusfield.misc.DecimalText;
import org.arbutusfield.misc.VisibleAscii;
import org.arbutusfield.model.RequestClass;
import org.arbutusfield.model.Service;
import org.arbutusfield.route.Route;
import org.arbutusfield.team.Team;

/**
 * A validated request head.
 *
 * @param requestId request id, from the caller or newly created
 * @param service service that the request is for
 * @param requestClass class of the request in the service
 * @param route the operator's route, if there is one
 * @param method HTTP method in upper case
 * @param target request target as received
 * @param upstreamTarget request target at the upstream, without the service
 * @param path decoded and normalised path at the upstream
 * @param deadline time allowed until the response begins
 * @param hops number of hosts that forwarded the request before
 * @param idempotencyKey idempotency key, if there is one
 * @param objectKey key of the object that the request concerns, if the caller names one
 * @param length declared length of the body in bytes; empty if none is declared, as for chunked bodies
 * @param expectsContinue whether the caller waits for {@code 100 Continue} before it sends the body
 * @param headers all header fields received
 * @param credentials what the request states of its team
 * @param identity its team, by the configuration when the head was read
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
        Optional<String> idempotencyKey,
        Optional<String> objectKey,
        OptionalLong length,
        boolean expectsContinue,
        HttpHeaders headers,
        TeamCredentials credentials,
        TeamIdentity identity) {

    private static final int MAX_HOPS = 1;
    private static final Pattern VALID_KEY = Pattern.compile("[!-~]{1,256}");
    private static final Pattern UP_TO_9_DIGITS = Pattern.compile("[0-9]{1,9}");

    /**
     * Checks the {@code Host} field, target, {@code Expect} field and length of a request, whether this host or a
     * service handles it. Its decoder has checked its framing.
     */
    static Optional<Failure> validate(HttpRequest request, ProxyLimits limits) {
        HttpHeaders headers = request.headers();
        boolean hostMissing =
                request.protocolVersion().equals(HttpVersion.HTTP_1_1) && !headers.contains(HttpHeaderNames.HOST);
        if (hostMissing || headers.getAll(HttpHeaderNames.HOST).size() > 1) {
            return malformed("host");
        }
        if (!request.uri().startsWith("/") || !VisibleAscii.only(request.uri())) {
            return malformed("target");
        }
        if (!ProxyHeaders.requestIdIsValid(headers)) {
            return malformed(ProxyHeaders.REQUEST_ID);
        }
        String expected = headers.get(HttpHeaderNames.EXPECT);
        if (expected != null && !expected.equalsIgnoreCase("100-continue")) {
            return malformed("expect");
        }
        String length = headers.get(HttpHeaderNames.CONTENT_LENGTH);
        if (length != null && Long.parseLong(length) > limits.bodyBytes()) {
            return Optional.of(Failure.of(ErrorCode.REQUEST_TOO_LARGE, "body"));
        }
        return Optional.empty();
    }

    /**
     * Parses a head that {@link #validate} accepted.
     *
     * @param request head of the request
     * @param requestId id of the request
     * @param route result of routing the request
     * @param credentials what the request states of its team
     * @param identity its team
     * @param headerNames names of header fields
     */
    static Either<Failure, RequestHead> parse(
            HttpRequest request,
            String requestId,
            RouteMatch route,
            TeamCredentials credentials,
            TeamIdentity identity,
            HeaderNames headerNames) {
        HttpHeaders headers = request.headers();
        // With teams, only a host's field is believed: hosts have other rights than callers.
        boolean hopBelieved = !identity.required() || credentials.forwarded();
        Optional<Failure> fault = validateFields(headers, hopBelieved, headerNames);
        if (fault.isPresent()) {
            return Either.left(fault.get());
        }
        String length = headers.get(HttpHeaderNames.CONTENT_LENGTH);
        return Either.right(new RequestHead(
                requestId,
                route.service(),
                route.requestClass(),
                route.route(),
                request.method().name(),
                request.uri(),
                route.target(),
                route.path(),
                deadline(headers, route.requestClass(), headerNames),
                hopBelieved ? hops(headers) : 0,
                Optional.ofNullable(headers.get(ProxyHeaders.IDEMPOTENCY_KEY)),
                headerNames.objectKey().map(headers::get),
                length == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(length)),
                HttpUtil.is100ContinueExpected(request),
                headers,
                credentials,
                identity));
    }

    /** The team of the request, by the configuration when the head was read. */
    Optional<Team> team() {
        return identity.team();
    }

    /** The parts that are safe to log: the fields may contain a team's key. */
    @Override
    public String toString() {
        return "RequestHead[requestId=" + requestId + ", method=" + method + ", target=" + target + "]";
    }

    /** True if the request has a body, possibly an empty one. */
    boolean hasBody() {
        return length.isPresent() || headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
    }

    /** True if the request has a body that is placed before it is read. */
    boolean upload() {
        return hasBody() && route.map(Route::upload).orElse(false);
    }

    private static Optional<Failure> validateFields(HttpHeaders headers, boolean hopBelieved, HeaderNames headerNames) {
        String deadline = headers.get(headerNames.deadlineMillis());
        if (deadline != null && DecimalText.parse(deadline).isEmpty()) {
            return malformed(headerNames.deadlineMillis());
        }
        String hop = hopBelieved ? headers.get(ProxyHeaders.HOP) : null;
        if (hop != null && !UP_TO_9_DIGITS.matcher(hop).matches()) {
            return malformed(ProxyHeaders.HOP);
        }
        if (hop != null && hops(headers) > MAX_HOPS) {
            return Optional.of(Failure.of(ErrorCode.NO_UPSTREAM, ProxyHeaders.HOP, "forwarded too many times"));
        }
        List<String> keys = headers.getAll(ProxyHeaders.IDEMPOTENCY_KEY);
        if (keys.size() > 1
                || (keys.size() == 1 && !VALID_KEY.matcher(keys.get(0)).matches())) {
            return malformed(ProxyHeaders.IDEMPOTENCY_KEY);
        }
        return Optional.empty();
    }

    private static Duration deadline(HttpHeaders headers, RequestClass requestClass, HeaderNames headerNames) {
        String requested = headers.get(headerNames.deadlineMillis());
        long allowed = requestClass.deadlineMillis();
        double millis =
                requested == null ? allowed : DecimalText.parse(requested).orElseThrow();
        return Duration.ofMillis(Math.min(allowed, (long) millis));
    }

    private static int hops(HttpHeaders headers) {
        String hop = headers.get(ProxyHeaders.HOP);
        return hop == null ? 0 : Integer.parseInt(hop);
    }

    private static Optional<Failure> malformed(String subject) {
        return Optional.of(Failure.of(ErrorCode.REQUEST_MALFORMED, subject));
    }
}
