package org.arbutusfield.proxy;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.SimpleHttpRequest;
import org.arbutusfield.http.SimpleHttpResponse;

/** Answers requests under {@code /-/} on this host. Does not block; the future may complete on any thread. */
@FunctionalInterface
public interface LocalHandler {
    /** Answers every path with {@code PATH_UNKNOWN}. */
    LocalHandler NONE = (request, caller) -> CompletableFuture.completedFuture(
            SimpleHttpResponse.problem(Failure.of(ErrorCode.PATH_UNKNOWN, request.path())));

    /** Answers a request of the caller at the address. */
    CompletableFuture<SimpleHttpResponse> handle(SimpleHttpRequest request, InetSocketAddress caller);
}
