package org.arbutusfield.log;

import java.time.LocalDateTime;
import java.time.ZoneOffset;

/**
 * Formats times as ISO 8601 in UTC with milliseconds, such as {@code 2026-01-31T09:05:07.042Z}.
 *
 * <p>Equal to {@code DateTimeFormatter.ISO_INSTANT} with three digits, without the locale data that a formatter loads.
 * The text of the latest second is kept, because most lines share their second with the line before. Thread-safe.
 */
final class UtcTime {
    private static final int MILLIS_PER_SECOND = 1000;

    private static volatile FormattedSecond latest = FormattedSecond.of(0);

    private UtcTime() {}

    /** Formats a time between the years 0 and 9999, in milliseconds since the epoch. */
    static String format(long epochMillis) {
        long second = Math.floorDiv(epochMillis, (long) MILLIS_PER_SECOND);
        FormattedSecond formatted = latest;
        if (formatted.epochSecond() != second) {
            formatted = FormattedSecond.of(second);
            latest = formatted;
        }
        StringBuilder text = new StringBuilder(formatted.text());
        appendDigits(text, (int) Math.floorMod(epochMillis, (long) MILLIS_PER_SECOND), MILLIS_PER_SECOND / 10);
        return text.append('Z').toString();
    }

    /** Appends a number with leading zeros; the unit is that of its first digit. */
    private static void appendDigits(StringBuilder text, int value, int firstUnit) {
        for (int unit = firstUnit; unit > 0; unit /= 10) {
            text.append((char) ('0' + value / unit % 10));
        }
    }

    /**
     * The text of a time up to the decimal point.
     *
     * @param epochSecond seconds since the epoch
     * @param text its text
     */
    private record FormattedSecond(long epochSecond, String text) {
        private static FormattedSecond of(long epochSecond) {
            LocalDateTime time = LocalDateTime.ofEpochSecond(epochSecond, 0, ZoneOffset.UTC);
            StringBuilder text = new StringBuilder();
            appendDigits(text, time.getYear(), 1000);
            appendDigits(text.append('-'), time.getMonthValue(), 10);
            appendDigits(text.append('-'), time.getDayOfMonth(), 10);
            appendDigits(text.append('T'), time.getHour(), 10);
            appendDigits(text.append(':'), time.getMinute(), 10);
            appendDigits(text.append(':'), time.getSecond(), 10);
            return new FormattedSecond(epochSecond, text.append('.').toString());
        }
    }
}
