package org.arbutusfield.note;

import java.util.ArrayList;
import java.util.List;
import org.arbutusfield.error.Failure;

/** Collects the validation failures of one note, up to a limit. Not thread-safe. */
final class ValidationFailures {
    /** Maximum number of failures; further ones are dropped. */
    static final int MAX_FAILURES = 1000;

    private final List<Failure> failures = new ArrayList<>();

    /** Adds a failure, unless the limit is reached. */
    void add(Failure failure) {
        if (!isFull()) {
            failures.add(failure);
        }
    }

    /** Adds failures until the limit is reached. */
    void addAll(List<Failure> failures) {
        failures.forEach(this::add);
    }

    /** True when the limit is reached and further failures are dropped. */
    boolean isFull() {
        return failures.size() >= MAX_FAILURES;
    }

    /** True when there are no failures. */
    boolean isEmpty() {
        return failures.isEmpty();
    }

    /** The failures in the order in which they were added. */
    List<Failure> toList() {
        return List.copyOf(failures);
    }
}
