package org.arbutusfield.log;

import java.time.Instant;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeFormatterBuilder;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.LogEvent;

/**
 * Formats each event as one line: time, level, the message's {@code key=value} pairs, and the error if there is one.
 */
final class LineFormat {
    private static final int MILLIS_DIGITS = 3;
    private static final DateTimeFormatter TIME =
            new DateTimeFormatterBuilder().appendInstant(MILLIS_DIGITS).toFormatter();

    private LineFormat() {}

    static String line(LogEvent event) {
        String error = event.getThrown() == null
                ? ""
                : " error=\"" + escapeLineEnds(messageOrClassName(event.getThrown())) + '"';
        return line(event.getTimeMillis(), event.getLevel(), event.getMessage().getFormattedMessage(), error);
    }

    static String line(long timeMillis, Level level, String message, String suffix) {
        return "ts=" + TIME.format(Instant.ofEpochMilli(timeMillis)) + " level=" + level + ' ' + escapeLineEnds(message)
                + suffix + '\n';
    }

    private static String messageOrClassName(Throwable error) {
        return error.getMessage() == null ? error.getClass().getName() : error.getMessage();
    }

    /** Escapes line ends, with which input from a caller could forge a log line. */
    private static String escapeLineEnds(String text) {
        return text.indexOf('\n') < 0 && text.indexOf('\r') < 0
                ? text
                : text.replace("\r", "\\r").replace("\n", "\\n");
    }
}
