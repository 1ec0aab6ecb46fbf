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
    private static final Duration LONG = Duration.ofMinutes(1);

    /** A stream that takes nothing until it is opened, and tells when the first batch has reached it. */
    private static final class Gate extends OutputStream {
        private final ByteArrayOutputStream taken = new ByteArrayOutputStream();
        private final CountDownLatch reached = new CountDownLatch(1);
        private final CountDownLatch open = new CountDownLatch(1);
        private int batches;

        @Override
        public void write(int one) {
            taken.write(one);
        }

        @Override
        public void write(byte[] bytes, int from, int length) {
            reached.countDown();
            try {
                open.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            batches++;
            taken.write(bytes, from, length);
        }

        private String text() {
            return taken.toString(StandardCharsets.UTF_8);
        }
    }

    private static LineWriter writer(Gate gate, int capacity, Duration pause) {
        return LineWriter.start(gate, capacity, pause, count -> "dropped " + count + "\n");
    }

    @Test
    void linesThatComeTogetherAreWrittenInOneBatchAndInOrder() {
        Gate gate = new Gate();
        gate.open.countDown();
        LineWriter writer = writer(gate, 100, LONG);
        writer.write("a\n", false);
        writer.write("b\n", false);
        writer.flush(LONG);
        assertThat(gate.text()).isEqualTo("a\nb\n");
        assertThat(gate.batches).isEqualTo(1);
    }

    @Test
    void callersOfAStreamThatTakesNothingGoOnAndDroppedLinesAreCounted() throws InterruptedException {
        Gate gate = new Gate();
        LineWriter writer = writer(gate, 4, LONG);
        writer.write("a\n", true);
        assertThat(gate.reached.await(1, TimeUnit.MINUTES)).isTrue();
        for (String line : new String[] {"b\n", "c\n", "d\n", "e\n"}) {
            writer.write(line, false);
        }
        writer.flush(Duration.ZERO);
        gate.open.countDown();
        writer.flush(LONG);
        assertThat(gate.text()).isEqualTo("a\nb\nc\ndropped 2\n");
    }

    @Test
    void aLineEndInAMessageIsEscaped() {
        assertThat(LineFormat.line(0, Level.INFO, "event=x target=a\r\nlevel=ERROR", ""))
                .isEqualTo("ts=1970-01-01T00:00:00.000Z level=INFO event=x target=a\\r\\nlevel=ERROR\n");
    }
}
