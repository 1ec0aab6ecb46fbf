package org.arbutusfield.proxy;

import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.stream.Stream;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/**
 * A target's explicit statement that it did not run the request: the not-run header field on an error response, or
 * status 421 (Misdirected Request) from an upstream. A host also names its error code in {@code x-error-code}.
 */
final class NotRunStatement {
    static final String ERROR_CODE = "x-error-code";

    private static final int MISDIRECTED_REQUEST = 421;
    private static final int FIRST_ERROR_STATUS = 400;

    private NotRunStatement() {}

    /** True if the response states that the target did not run the request. */
    static boolean isIn(HttpResponse response, PlacementTarget target, HeaderNames names) {
        int status = response.status().code();
        if (target instanceof PlacementTarget.UpstreamTarget && status == MISDIRECTED_REQUEST) {
            return true;
        }
        if (target instanceof PlacementTarget.UpstreamTarget) {
            return status >= FIRST_ERROR_STATUS && isSet(response.headers().get(names.notRun()));
        }
        return status >= FIRST_ERROR_STATUS && isSet(response.headers().get(ProxyHeaders.NOT_RUN));
    }

    static Failure failure(HttpResponse response, PlacementTarget target) {
        String name = response.headers().get(ERROR_CODE, "");
        ErrorCode code = target instanceof PlacementTarget.HostTarget ? notRunCode(name) : ErrorCode.UPSTREAM_SHED;
        Failure failure = Failure.of(code, target.name());
        return retryAfter(response).map(failure::withRetryAfter).orElse(failure);
    }

    private static boolean isSet(String value) {
        return value != null && !value.equals("false") && !value.equals("0");
    }

    private static ErrorCode notRunCode(String name) {
        return Stream.of(ErrorCode.values())
                .filter(code -> code.name().equals(name))
                .filter(code -> code.execution() == ErrorCode.Execution.NOT_RUN)
                // The host doesn't know this one as a host yet; that says nothing of the caller's key.
                .map(code -> code == ErrorCode.KEY_UNKNOWN ? ErrorCode.HOST_BUSY : code)
                .findFirst()
                .orElse(ErrorCode.UPSTREAM_SHED);
    }

    private static Optional<Duration> retryAfter(HttpResponse response) {
        return RetryAfter.parse(response.headers(), Instant.now());
    }
}
