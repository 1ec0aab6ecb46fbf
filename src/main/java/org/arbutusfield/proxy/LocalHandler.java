package org.arbutusfield.proxy;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.SimpleHttpRequest;
import org.arbutusfield.http.SimpleHttpResponse;

/** Answers requests under {@code /-/} from this host itself. Does not block; the future may complete on any thread. */
@FunctionalInterface
public interface LocalHandler {
    /** Knows no path. */
    LocalHandler NONE = (call, caller) -> CompletableFuture.completedFuture(
            SimpleHttpResponse.problem(Failure.of(ErrorCode.PATH_UNKNOWN, call.path())));

    /** Answers the call of the caller at this address. */
    CompletableFuture<SimpleHttpResponse> handle(SimpleHttpRequest call, InetSocketAddress caller);
}
