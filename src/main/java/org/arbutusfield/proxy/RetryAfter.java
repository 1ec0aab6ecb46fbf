package org.arbutusfield.proxy;

import io.netty.handler.codec.DateFormatter;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.time.Instant;
import java.util.Date;
import java.util.Optional;
import java.util.OptionalDouble;
import org.arbutusfield.error.Failure;
import org.arbutusfield.misc.DecimalText;

/** Parses {@code Retry-After}: seconds, with or without a fraction, or a date. */
final class RetryAfter {
    /** Longer times are taken for this one. */
    static final Duration MAX = Duration.ofDays(1);

    private static final int SERVICE_UNAVAILABLE = 503;
    private static final Duration DEFAULT = Duration.ofMillis(500);
    private static final double MILLIS_PER_SECOND = 1000;

    private RetryAfter() {}

    /**
     * Returns the time that the fields of a response name, rounded up to milliseconds; zero for a date that has passed.
     *
     * @param headers fields of the response
     * @param now time by which a date is read, if the response has no {@code Date}
     * @return empty if there is no such field, or it can't be read
     */
    static Optional<Duration> parse(HttpHeaders headers, Instant now) {
        String value = headers.get(HttpHeaderNames.RETRY_AFTER);
        if (value == null) {
            return Optional.empty();
        }
        OptionalDouble seconds = DecimalText.parse(value);
        return seconds.isPresent()
                ? Optional.of(ofSeconds(seconds.getAsDouble()))
                : date(value)
                        .map(date ->
                                between(date(headers.get(HttpHeaderNames.DATE)).orElse(now), date));
    }

    /** Returns the failure; one with status 503 always says when to retry. */
    static Failure withDefault(Failure failure) {
        boolean unavailable = failure.code().httpStatus() == SERVICE_UNAVAILABLE;
        return unavailable && failure.retryAfter().isEmpty() ? failure.withRetryAfter(DEFAULT) : failure;
    }

    private static Duration ofSeconds(double seconds) {
        double millis = Math.ceil(Math.min((double) MAX.toSeconds(), seconds) * MILLIS_PER_SECOND);
        return Duration.ofMillis((long) millis);
    }

    private static Optional<Instant> date(String value) {
        return Optional.ofNullable(value)
                .flatMap(text -> Optional.ofNullable(DateFormatter.parseHttpDate(text)))
                .map(Date::toInstant);
    }

    private static Duration between(Instant from, Instant to) {
        Duration time = Duration.between(from, to);
        if (time.isNegative()) {
            return Duration.ZERO;
        }
        return time.compareTo(MAX) > 0 ? MAX : time;
    }
}
