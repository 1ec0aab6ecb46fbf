package org.arbutusfield.log;

import java.io.PrintStream;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.Property;

/** Appends events as lines to standard output, or to standard error if a system property says so. */
final class LineAppender extends AbstractAppender {
    /** System property; {@code SYSTEM_ERR} selects standard error, for tools that print results on standard output. */
    private static final String TARGET_PROPERTY = "arbutusfield.log";

    private static final int BUFFER_CHARS = 256 << 10;
    /** Kept short, because lines that are not yet written are lost if the process is killed. */
    private static final Duration BATCH_DELAY = Duration.ofMillis(100);

    private static final Duration FLUSH_TIMEOUT = Duration.ofMillis(300);

    private final LineWriter writer;

    private LineAppender(LineWriter writer) {
        super("lines", null, null, true, Property.EMPTY_ARRAY);
        this.writer = writer;
    }

    /** Creates a started appender that is flushed on regular termination of the process. */
    static LineAppender createStarted() {
        PrintStream stream = "SYSTEM_ERR".equals(System.getProperty(TARGET_PROPERTY)) ? System.err : System.out;
        LineWriter writer = LineWriter.start(stream, BUFFER_CHARS, BATCH_DELAY, LineAppender::droppedLine);
        LineAppender appender = new LineAppender(writer);
        appender.start();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> writer.flush(FLUSH_TIMEOUT), "log-flush"));
        return appender;
    }

    @Override
    public void append(LogEvent event) {
        writer.write(LineFormat.line(event), event.getLevel().isMoreSpecificThan(Level.ERROR));
    }

    @Override
    public boolean stop(long timeout, TimeUnit unit) {
        setStopping();
        writer.flush(FLUSH_TIMEOUT);
        setStopped();
        return true;
    }

    private static String droppedLine(long count) {
        return LineFormat.line(
                System.currentTimeMillis(),
                Level.WARN,
                "event=log_lines_dropped reason=buffer_full count=" + count,
                "");
    }
}
