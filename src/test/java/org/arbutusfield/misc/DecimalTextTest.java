package org.arbutusfield.misc;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Numbers and durations as other programs print them. */
class DecimalTextTest {
    private static final int PRINTED_NUMBERS = 10_000;

    /** Guards against a number that is ignored because of its number of digits: whatever prints a double is read. */
    @Test
    void eachPrintedDoubleIsRead() {
        Random random = new Random(1);
        for (int i = 0; i < PRINTED_NUMBERS; i++) {
            double number = Math.abs(Double.longBitsToDouble(random.nextLong()));
            if (Double.isFinite(number)) {
                assertThat(DecimalText.parse(Double.toString(number))).hasValue(number);
                assertThat(DecimalText.parse(Double.toString(number).toLowerCase(Locale.ROOT)))
                        .hasValue(number);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"", " ", ".", "-1", "-0.0", "NaN", "Infinity", "0x1p3", "1f", "1_000", "1 2", "e5", "1e", "٣"})
    void otherTextsAreNoNumbers(String text) {
        assertThat(DecimalText.parse(text)).isEmpty();
    }

    /** Guards against a number that takes long to expand, or overflows. */
    @Test
    void paddedAndExtremeNumbersAreReadAtOnce() {
        assertThat(DecimalText.parse(" \t1.5 ")).hasValue(1.5);
        assertThat(DecimalText.parse("1e999999999")).hasValue(Double.MAX_VALUE);
        assertThat(DecimalText.parse("1e-999999999")).hasValue(0);
        assertThat(DecimalText.parse("9".repeat(100_000))).hasValue(Double.MAX_VALUE);
        assertThat(DurationText.parse("1e999999999s")).contains(DurationText.MAX);
        assertThat(DurationText.parse("9".repeat(100_000) + "ms")).contains(DurationText.MAX);
    }

    @ParameterizedTest
    @CsvSource({
        "1500ms, 1500000000",
        "2.5s, 2500000000",
        "0.30000000000000004s, 300000000",
        "1234.567891ms, 1234567891",
        ".5s, 500000000",
        "1e-3s, 1000000"
    })
    void durationsAreRead(String text, double nanos) {
        Duration parsed = DurationText.parse(text).orElseThrow();
        assertThat((double) parsed.toNanos()).isCloseTo(nanos, within(1.0));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "s", "5", "5m", "5h", "-1s", "5ss", "s5", "5 seconds", "NaNs"})
    void otherTextsAreNoDurations(String text) {
        assertThat(DurationText.parse(text)).isEqualTo(Optional.empty());
    }
}
