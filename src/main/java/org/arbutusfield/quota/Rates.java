package org.arbutusfield.quota;

import java.util.OptionalDouble;

/** Rates in requests per second, of which an upstream may have none, one or several. */
public final class Rates {
    private Rates() {}

    /** Returns the lower one of two rates, or the only one; empty if there is none. */
    public static OptionalDouble lower(OptionalDouble one, OptionalDouble other) {
        if (one.isEmpty() || other.isEmpty()) {
            return one.isPresent() ? one : other;
        }
        return OptionalDouble.of(Math.min(one.getAsDouble(), other.getAsDouble()));
    }
}
