package org.arbutusfield.log;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.LogEvent;

/**
 * Formats each event as one line: time, level, the message's {@code key=value} pairs, and the error if there is one.
 */
final class LineFormat {
    private LineFormat() {}

    static String line(LogEvent event) {
        String error = event.getThrown() == null
                ? ""
                : " error=\"" + escapeLineEnds(messageOrClassName(event.getThrown())) + '"';
        return line(event.getTimeMillis(), event.getLevel(), event.getMessage().getFormattedMessage(), error);
    }

    static String line(long timeMillis, Level level, String message, String suffix) {
        return "ts=" + UtcTime.format(timeMillis) + " level=" + level + ' ' + escapeLineEnds(message) + suffix + '\n';
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
