package org.arbutusfield.proxy;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.vavr.control.Either;
import java.net.InetAddress;
import java.util.Optional;
import java.util.function.Supplier;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.route.Route;

/** Checks and routes the heads of a caller's requests. Has no state of its own. */
final class RequestParser {
    /** Stands for a request whose head can't be read, when it is refused. */
    static final HttpRequest UNREADABLE = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");

    private static final String LOCAL_PREFIX = "/-/";

    /** A length of zero, as the decoder writes it. */
    private static final String NO_BYTES = "0";

    private final ProxyContext context;

    private final Supplier<InetAddress> sender;

    private RequestParser(ProxyContext context, Supplier<InetAddress> sender) {
        this.context = context;
        this.sender = sender;
    }

    /** Creates the parser of one connection; the sender is the caller, or a host that forwards requests. */
    static RequestParser of(ProxyContext context, Supplier<InetAddress> sender) {
        return new RequestParser(context, sender);
    }

    /** Returns true if this host answers the request itself. */
    static boolean isLocal(HttpRequest head) {
        return head.uri().startsWith(LOCAL_PREFIX);
    }

    /** Returns true if the request announces a body. */
    static boolean hasBody(HttpRequest head) {
        HttpHeaders headers = head.headers();
        boolean empty = headers.get(HttpHeaderNames.CONTENT_LENGTH, NO_BYTES).equals(NO_BYTES);
        return headers.contains(HttpHeaderNames.TRANSFER_ENCODING) || !empty;
    }

    /** Returns what is wrong with a head; after that the connection's bytes can't be trusted. */
    Optional<Failure> fault(HttpRequest head) {
        if (head.decoderResult().isFailure()) {
            return Optional.of(decodingFailure(head.decoderResult().cause()));
        }
        return RequestHead.validate(head, context.limits());
    }

    /** Finds the service of a request, or the reason to refuse it. */
    Either<Failure, RequestHead> route(HttpRequest head, String id) {
        return context.components().router().route(head, id).flatMap(route -> identify(head, id, route));
    }

    private Either<Failure, RequestHead> identify(HttpRequest head, String id, RouteMatch route) {
        ProxyComponents components = context.components();
        TeamCredentials credentials =
                TeamCredentials.read(head.headers(), () -> components.peers().test(sender.get()));
        boolean open = route.route().map(Route::open).orElse(false);
        return TeamIdentity.of(credentials, open, components.teams().get())
                .flatMap(identity ->
                        RequestHead.parse(head, id, route, credentials, identity, components.headerNames()));
    }

    /** Returns the head of a request that has no body and may run twice; empty for any other or a faulty one. */
    Optional<RequestHead> repeatableWithoutBody(HttpRequest head) {
        boolean plainGet = fault(head).isEmpty()
                && head.method().equals(HttpMethod.GET)
                && head.protocolVersion().equals(HttpVersion.HTTP_1_1)
                && HttpUtil.isKeepAlive(head)
                && !hasBody(head)
                && !HttpUtil.is100ContinueExpected(head)
                && !isLocal(head);
        if (!plainGet) {
            return Optional.empty();
        }
        return route(head, ProxyHeaders.requestId(head.headers()))
                .toJavaOptional()
                .filter(read -> read.requestClass().repeatable());
    }

    private static Failure decodingFailure(Throwable cause) {
        boolean tooLong = cause instanceof TooLongHttpLineException || cause instanceof TooLongHttpHeaderException;
        return Failure.of(tooLong ? ErrorCode.REQUEST_HEAD_TOO_LARGE : ErrorCode.REQUEST_MALFORMED, "head");
    }
}
