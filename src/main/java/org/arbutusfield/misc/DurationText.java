package org.arbutusfield.misc;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses and formats durations: a decimal number and its unit, {@code ms} or {@code s}, such as {@code 1500ms} or
 * {@code 2.5s}.
 */
public final class DurationText {
    /** Longer durations are taken for this one, so that sums with a monotonic time don't overflow. */
    public static final Duration MAX = Duration.ofDays(3_650);

    private static final Pattern PATTERN = Pattern.compile("(.*[0-9.])(ms|s)", Pattern.DOTALL);
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;

    private DurationText() {}

    /** Parses a duration of {@link #MAX} at most; empty if the text has another form. */
    public static Optional<Duration> parse(String text) {
        Matcher matcher = PATTERN.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        OptionalDouble number = DecimalText.parse(matcher.group(1));
        if (number.isEmpty()) {
            return Optional.empty();
        }
        double unit = matcher.group(2).equals("s") ? NANOS_PER_SECOND : NANOS_PER_MILLI;
        double nanos = Math.min((double) MAX.toNanos(), number.getAsDouble() * unit);
        return Optional.of(Duration.ofNanos(Math.round(nanos)));
    }

    /** Formats a duration in whole milliseconds. */
    public static String formatMillis(Duration duration) {
        return duration.toMillis() + "ms";
    }
}
