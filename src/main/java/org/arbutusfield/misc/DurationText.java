package org.arbutusfield.misc;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses and formats durations: a decimal number and its unit, {@code ms} or {@code s}, such as {@code 1500ms} or
 * {@code 2.5s}.
 */
public final class DurationText {
    private static final Pattern PATTERN = Pattern.compile("([0-9]{1,9}(?:\\.[0-9]{1,6})?)(ms|s)");
    private static final BigDecimal NANOS_PER_MILLI = BigDecimal.valueOf(1_000_000);
    private static final BigDecimal NANOS_PER_SECOND = BigDecimal.valueOf(1_000_000_000);

    private DurationText() {}

    /** Parses a duration; empty if the text has another form. */
    public static Optional<Duration> parse(String text) {
        Matcher matcher = PATTERN.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        BigDecimal unit = matcher.group(2).equals("s") ? NANOS_PER_SECOND : NANOS_PER_MILLI;
        return Optional.of(
                Duration.ofNanos(new BigDecimal(matcher.group(1)).multiply(unit).longValue()));
    }

    /** Formats a duration in whole milliseconds. */
    public static String formatMillis(Duration duration) {
        return duration.toMillis() + "ms";
    }
}
