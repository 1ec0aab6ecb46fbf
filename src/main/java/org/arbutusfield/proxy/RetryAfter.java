package org.arbutusfield.proxy;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Pattern;

/** Parses {@code Retry-After} in seconds, with or without a fraction. Dates are not accepted. */
final class RetryAfter {
    private static final Pattern SECONDS = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?");
    private static final int MILLIS_PER_SECOND = 1000;

    private RetryAfter() {}

    /** Returns the time, rounded up to milliseconds; empty if the value can't be read. */
    static Optional<Duration> parse(String value) {
        String trimmed = value.trim();
        if (!SECONDS.matcher(trimmed).matches()) {
            return Optional.empty();
        }
        return Optional.of(Duration.ofMillis((long) Math.ceil(Double.parseDouble(trimmed) * MILLIS_PER_SECOND)));
    }
}
