package org.arbutusfield.misc;

import java.util.OptionalDouble;
import java.util.regex.Pattern;

/**
 * Parses decimal numbers that other programs have printed: digits with or without a point, as many as there are, with
 * or without an exponent, such as {@code 2}, {@code .5}, {@code 0.30000000000000004} or {@code 1e-05}.
 */
public final class DecimalText {
    private static final Pattern NUMBER = Pattern.compile("\\+?(?:[0-9]++\\.?[0-9]*+|\\.[0-9]++)(?:[eE][+-]?[0-9]++)?");

    private DecimalText() {}

    /**
     * Parses a number. White space around it is ignored, and a number too large to represent is the largest one.
     *
     * @return the number, finite and not negative; empty if the text is no such number
     */
    public static OptionalDouble parse(String text) {
        String trimmed = text.strip();
        if (!NUMBER.matcher(trimmed).matches()) {
            return OptionalDouble.empty();
        }
        return OptionalDouble.of(Math.min(Double.MAX_VALUE, Double.parseDouble(trimmed)));
    }
}
