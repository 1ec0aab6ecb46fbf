package org.arbutusfield.misc;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Texts from outside in log lines. */
class LogValueTest {

    /** Guards against a value that forges other pairs of its line, or another line. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "1.5+/=          | 1.5+/=",
                "a level=WARN    | \"a level=WARN\"",
                "say \"x\"       | \"say \\\"x\\\"\"",
                "a\\b            | \"a\\\\b\"",
                "ä               | \"\\u00e4\"",
            })
    void textsStayOneValue(String text, String written) {
        assertThat(LogValue.of(text)).isEqualTo(written);
    }

    @Test
    void lineEndsAreEscapedAndLongTextsCut() {
        assertThat(LogValue.of("a\nb\r\u0000")).isEqualTo("\"a\\u000ab\\u000d\\u0000\"");
        assertThat(LogValue.of("")).isEqualTo("\"\"");
        assertThat(LogValue.of("x".repeat(100_000))).hasSize(200);
    }
}
