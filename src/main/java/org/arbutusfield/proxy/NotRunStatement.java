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
 * A place's explicit statement that it did not run the request: {@code x-not-run: true} on a 503 of an upstream, or on
 * any failure of an entry host, which names its error in {@code x-error-code}.
 */
final class NotRunStatement {
    static final String ERROR_CODE = "x-error-code";

    private static final int UNAVAILABLE = 503;
    private static final int FIRST_FAILURE = 400;
    private static final Pattern SECONDS = Pattern.compile("[0-9]{1,6}");

    private NotRunStatement() {}

    static boolean in(HttpResponse answer, Placed by) {
        if (!"true".equals(answer.headers().get(ProxyHeaders.NOT_RUN))) {
            return false;
        }
        int status = answer.status().code();
        return by instanceof Placed.AtHost ? status >= FIRST_FAILURE : status == UNAVAILABLE;
    }

    static Failure failure(HttpResponse answer, Placed by) {
        String named = answer.headers().get(ERROR_CODE, "");
        ErrorCode code = by instanceof Placed.AtHost ? codeNamed(named) : ErrorCode.UPSTREAM_SHED;
        Failure failure = Failure.of(code, by.name());
        return retryAfter(answer).map(failure::withRetryAfter).orElse(failure);
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
