package org.arbutusfield.timer;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class SystemTimerTest {
    /** Guards against a periodic task that one error, such as a full heap, ends for good and without a line. */
    @Test
    void periodicTaskGoesOnAfterAnError() throws InterruptedException {
        CountDownLatch runs = new CountDownLatch(3);
        try (SystemTimer timer = SystemTimer.start()) {
            timer.every(Duration.ofMillis(1), () -> {
                runs.countDown();
                throw new OutOfMemoryError("test");
            });
            assertThat(runs.await(5, TimeUnit.SECONDS)).isTrue();
        }
    }
}
