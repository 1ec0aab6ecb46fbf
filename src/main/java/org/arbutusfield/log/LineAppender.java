package org.arbutusfield.log;

import java.io.PrintStream;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.Property;

/** Appends events as lines to standard output, or to standard error where a system property says so. */
final class LineAppender extends AbstractAppender {
    /** System property; {@code SYSTEM_ERR} for tools whose standard output carries results. */
    private static final String TARGET = "arbutusfield.log";

    private static final int CAPACITY_CHARS = 256 << 10;
    /** Lines of the last moment are lost when a process is killed, so it is short. */
    private static final Duration GATHER = Duration.ofMillis(100);

    private static final Duration CLOSE_LIMIT = Duration.ofMillis(300);

    private final LineWriter writer;

    private LineAppender(LineWriter writer) {
        super("lines", null, null, true, Property.EMPTY_ARRAY);
        this.writer = writer;
    }

    /** An appender that takes events at once and is flushed at the regular end of the process. */
    static LineAppender started() {
        PrintStream stream = "SYSTEM_ERR".equals(System.getProperty(TARGET)) ? System.err : System.out;
        LineWriter writer = LineWriter.start(stream, CAPACITY_CHARS, GATHER, LineAppender::dropped);
        LineAppender appender = new LineAppender(writer);
        appender.start();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> writer.flush(CLOSE_LIMIT), "log-flush"));
        return appender;
    }

    @Override
    public void append(LogEvent event) {
        writer.write(LineFormat.line(event), event.getLevel().isMoreSpecificThan(Level.ERROR));
    }

    @Override
    public boolean stop(long timeout, TimeUnit unit) {
        setStopping();
        writer.flush(CLOSE_LIMIT);
        setStopped();
        return true;
    }

    private static String dropped(long count) {
        return LineFormat.line(
                System.currentTimeMillis(),
                Level.WARN,
                "event=log_lines_dropped reason=buffer_full count=" + count,
                "");
    }
}
