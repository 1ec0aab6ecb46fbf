package org.arbutusfield.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.Level;
import org.junit.jupiter.api.Test;

class LineWriterTest {
    private static final Duration LONG_TIMEOUT = Duration.ofMinutes(1);

    /** A stream that blocks writes until it is unblocked, and signals the first write. */
    private static final class BlockingStream extends OutputStream {
        private final ByteArrayOutputStream written = new ByteArrayOutputStream();
        private final CountDownLatch firstWrite = new CountDownLatch(1);
        private final CountDownLatch unblocked = new CountDownLatch(1);
        private int batches;

        @Override
        public void write(int value) {
            written.write(value);
        }

        @Override
        public void write(byte[] bytes, int from, int length) {
            firstWrite.countDown();
            try {
                unblocked.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            batches++;
            written.write(bytes, from, length);
        }

        private String text() {
            return written.toString(StandardCharsets.UTF_8);
        }
    }

    private static LineWriter writer(BlockingStream stream, int capacity, Duration batchDelay) {
        return LineWriter.start(stream, capacity, batchDelay, count -> "dropped " + count + "\n");
    }

    @Test
    void waitingLinesAreWrittenInOneBatchInOrder() {
        BlockingStream stream = new BlockingStream();
        stream.unblocked.countDown();
        LineWriter writer = writer(stream, 100, LONG_TIMEOUT);
        writer.write("a\n", false);
        writer.write("b\n", false);
        writer.flush(LONG_TIMEOUT);
        assertThat(stream.text()).isEqualTo("a\nb\n");
        assertThat(stream.batches).isEqualTo(1);
    }

    @Test
    void blockedStreamDoesNotBlockCallersAndDroppedLinesAreCounted() throws InterruptedException {
        BlockingStream stream = new BlockingStream();
        LineWriter writer = writer(stream, 4, LONG_TIMEOUT);
        writer.write("a\n", true);
        assertThat(stream.firstWrite.await(1, TimeUnit.MINUTES)).isTrue();
        for (String line : new String[] {"b\n", "c\n", "d\n", "e\n"}) {
            writer.write(line, false);
        }
        writer.flush(Duration.ZERO);
        stream.unblocked.countDown();
        writer.flush(LONG_TIMEOUT);
        assertThat(stream.text()).isEqualTo("a\nb\nc\ndropped 2\n");
    }

    @Test
    void lineEndsInMessagesAreEscaped() {
        assertThat(LineFormat.line(0, Level.INFO, "event=x target=a\r\nlevel=ERROR", ""))
                .isEqualTo("ts=1970-01-01T00:00:00.000Z level=INFO event=x target=a\\r\\nlevel=ERROR\n");
    }
}
