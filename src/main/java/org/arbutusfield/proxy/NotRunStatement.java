package org.arbutusfield.proxy;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/**
 * A place's explicit statement that it did not run the request: the statement's field on a failure, or 421 of an
 * upstream, which says that another one was meant. An entry host names its error in {@code x-error-code}.
 */
final class NotRunStatement {
    static final String ERROR_CODE = "x-error-code";

    private static final int MISDIRECTED = 421;
    private static final int FIRST_FAILURE = 400;
    private static final Pattern SECONDS = Pattern.compile("[0-9]{1,6}");

    private NotRunStatement() {}

    /** True when the answer states that the place did not run the request. */
    static boolean in(HttpResponse answer, PlacementTarget by, HeaderNames names) {
        int status = answer.status().code();
        if (by instanceof PlacementTarget.UpstreamTarget && status == MISDIRECTED) {
            return true;
        }
        if (by instanceof PlacementTarget.UpstreamTarget) {
            return status >= FIRST_FAILURE && stated(answer.headers().get(names.notRun()));
        }
        return status >= FIRST_FAILURE && stated(answer.headers().get(ProxyHeaders.NOT_RUN));
    }

    static Failure failure(HttpResponse answer, PlacementTarget by) {
        String named = answer.headers().get(ERROR_CODE, "");
        ErrorCode code = by instanceof PlacementTarget.HostTarget ? codeNamed(named) : ErrorCode.UPSTREAM_SHED;
        Failure failure = Failure.of(code, by.name());
        return retryAfter(answer).map(failure::withRetryAfter).orElse(failure);
    }

    private static boolean stated(String value) {
        return value != null && !value.equals("false") && !value.equals("0");
    }

    private static ErrorCode codeNamed(String name) {
        return Stream.of(ErrorCode.values())
                .filter(code -> code.name().equals(name))
                .filter(code -> code.execution() == ErrorCode.Execution.NOT_RUN)
                .findFirst()
                .orElse(ErrorCode.UPSTREAM_SHED);
    }

    private static Optional<Duration> retryAfter(HttpResponse answer) {
        return Optional.ofNullable(answer.headers().get(HttpHeaderNames.RETRY_AFTER))
                .filter(value -> SECONDS.matcher(value).matches())
                .map(value -> Duration.ofSeconds(Long.parseLong(value)));
    }
}
