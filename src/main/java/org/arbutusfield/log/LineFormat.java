package org.arbutusfield.log;

import java.time.Instant;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeFormatterBuilder;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.LogEvent;

/** One line for each event: time, level, the message's {@code key=value} pairs, and the error if there is one. */
final class LineFormat {
    private static final int MILLIS_DIGITS = 3;
    private static final DateTimeFormatter TIME =
            new DateTimeFormatterBuilder().appendInstant(MILLIS_DIGITS).toFormatter();

    private LineFormat() {}

    static String line(LogEvent event) {
        String error = event.getThrown() == null ? "" : " error=\"" + escaped(shortText(event.getThrown())) + '"';
        return line(event.getTimeMillis(), event.getLevel(), event.getMessage().getFormattedMessage(), error);
    }

    static String line(long timeMillis, Level level, String message, String suffix) {
        return "ts=" + TIME.format(Instant.ofEpochMilli(timeMillis)) + " level=" + level + ' ' + escaped(message)
                + suffix + '\n';
    }

    private static String shortText(Throwable error) {
        return error.getMessage() == null ? error.getClass().getName() : error.getMessage();
    }

    /** Line ends would let a caller's input forge a line. */
    private static String escaped(String text) {
        return text.indexOf('\n') < 0 && text.indexOf('\r') < 0
                ? text
                : text.replace("\r", "\\r").replace("\n", "\\n");
    }
}
