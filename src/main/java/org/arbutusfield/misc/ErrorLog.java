package org.arbutusfield.misc;

import java.util.concurrent.atomic.LongAdder;
import org.apache.logging.log4j.Logger;

/**
 * Logs errors after which the process goes on, such as a full heap. The line itself may fail then; that must not end
 * what logs it. The next line tells how many were lost.
 */
public final class ErrorLog {
    private static final LongAdder LINES_LOST = new LongAdder();

    private ErrorLog() {}

    /** Writes one line with the error, or counts it as lost; never fails. */
    public static void write(Logger log, String event, Throwable error) {
        try {
            log.error("event={} type={} lines_lost={}", event, error.getClass().getName(), LINES_LOST.sum(), error);
        } catch (RuntimeException | Error e) {
            LINES_LOST.increment();
        }
    }
}
