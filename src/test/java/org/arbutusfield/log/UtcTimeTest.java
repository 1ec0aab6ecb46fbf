package org.arbutusfield.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeFormatterBuilder;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Times of log lines, against the formatter of the standard library. */
class UtcTimeTest {
    private static final DateTimeFormatter EXPECTED =
            new DateTimeFormatterBuilder().appendInstant(3).toFormatter();
    private static final long YEAR_9999_MILLIS = 253_402_300_799_999L;

    @ParameterizedTest
    @ValueSource(longs = {0, 1, 999, 1000, -1, 951_782_400_000L, 1_709_164_799_999L, YEAR_9999_MILLIS})
    void boundariesAreFormattedAsIso8601(long millis) {
        assertThat(UtcTime.format(millis)).isEqualTo(EXPECTED.format(Instant.ofEpochMilli(millis)));
    }

    @Test
    void timesInAnyOrderAreFormattedAsIso8601() {
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 2_000; i++) {
            long millis = random.nextLong(YEAR_9999_MILLIS);
            assertThat(UtcTime.format(millis)).isEqualTo(EXPECTED.format(Instant.ofEpochMilli(millis)));
            assertThat(UtcTime.format(millis + 1)).isEqualTo(EXPECTED.format(Instant.ofEpochMilli(millis + 1)));
        }
    }
}
